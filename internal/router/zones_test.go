package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/topology"
)

func TestUnknownZonesAreToldOnce(t *testing.T) {
	places := topology.New(map[topology.Zone]topology.Region{"a1": "a"})
	var zones strangeZones
	var told []topology.Zone
	for _, zone := range []topology.Zone{"a1", "c1", "c1", "", "c2", "c1"} {
		if zones.strange(places, zone) {
			told = append(told, zone)
		}
	}
	assert.DeepEqual(t, told, []topology.Zone{"c1", "", "c2"})
	assert.Assert(t, !zones.strange(topology.Map{}, "c3"), "where no region is named there is one")
}
