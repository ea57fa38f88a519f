package kv_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/lab/kv"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
)

func TestMachinesAreSteered(t *testing.T) {
	server := httptest.NewServer(kv.NewServer(memory.New()))
	defer server.Close()
	leaving, err := kv.ParseMachine("127.0.0.9=leaving@nl-1")
	assert.NilError(t, err)
	change := kv.Control{Machines: &kv.Machines{Set: []platform.Machine{leaving}}}
	assert.NilError(t, kv.Steer(t.Context(), server.Client(), server.URL, change))
	machines, err := platform.NewClient(server.URL, server.Client()).Machines(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, machines, []platform.Machine{
		{Address: "127.0.0.9", Name: "127.0.0.9", Zone: "nl-1", State: platform.MachineLeaving},
	})
	assert.ErrorContains(t, kv.Steer(t.Context(), server.Client(), server.URL, kv.Control{}), "expected one of")
}

func TestMachinesThatMakeNoSenseAreRefused(t *testing.T) {
	for _, text := range []string{"127.0.0.9", "127.0.0.9=gone", "host=live"} {
		_, err := kv.ParseMachine(text)
		assert.Assert(t, err != nil, "%s", text)
	}
}
