package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const secretToken = "hunter2-hunter2-hunter2"

func TestReadControllerReportsAllProblemsAtOnce(t *testing.T) {
	data := golden.Get(t, "controller-bad.yaml")
	_, err := ReadController("controller.yaml", data, []Override{{Field: "listen", Value: "nonsense"}})
	assert.Assert(t, err != nil)
	golden.Assert(t, err.Error()+"\n", "controller-bad.golden")
	assert.Assert(t, !strings.Contains(err.Error(), secretToken))
}

func TestReadControllerFillsDefaultsAndFlagsWin(t *testing.T) {
	data := golden.Get(t, "controller.yaml")
	read, err := ReadController("controller.yaml", data, []Override{TextOverride("listen", "127.0.0.1:7999")})
	assert.NilError(t, err)
	assert.Equal(t, read.Listen, "127.0.0.1:7999")
	assert.Equal(t, read.Zone, read.Common.Zone)
	assert.Equal(t, read.Replicas, DefaultReplicas)
	want := DefaultTimes()
	want.Grant *= 2
	assert.Equal(t, read.Times, want)
}

func TestReadGatewayListOverride(t *testing.T) {
	data := golden.Get(t, "gateway.yaml")
	read, err := ReadGateway("gateway.yaml", data, []Override{TextOverride("controllers", "127.0.0.1:1,127.0.0.1:2")})
	assert.NilError(t, err)
	assert.DeepEqual(t, read.Controllers, []string{"127.0.0.1:1", "127.0.0.1:2"})
	assert.Equal(t, read.LedgerEntries, DefaultLedgerEntries)
}

func TestTokenOfAWrongTypeIsNotRepeated(t *testing.T) {
	for _, token := range []string{"7777777777777777", "[7777777777777777]", "7777"} {
		_, err := ReadGateway("gateway.yaml", []byte("token: "+token), nil)
		assert.ErrorContains(t, err, ": token: expected")
		assert.Assert(t, !strings.Contains(err.Error(), "7777"), err.Error())
	}
}

func TestBrokenYAMLIsAProblemWithAPlace(t *testing.T) {
	_, err := ReadGateway("gateway.yaml", []byte("cell: [a\nzone: b"), nil)
	assert.ErrorContains(t, err, "gateway.yaml:2:1: expected YAML")
}
