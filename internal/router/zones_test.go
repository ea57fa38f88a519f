package router

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

func TestUnknownZonesAreToldOnce(t *testing.T) {
	var out bytes.Buffer
	log := decision.NewTo(&out, "test")
	places := topology.New(map[topology.Zone]topology.Region{"a1": "a"})
	var zones strangeZones
	for _, zone := range []string{"a1", "c1", "c1", "", "c2"} {
		zones.note(places, workers.Worker{ID: "w", Zone: zone}, log)
	}
	log.Flush()
	assert.Equal(t, strings.Count(out.String(), string(decision.KindZoneUnknown)), 3, out.String())
}
