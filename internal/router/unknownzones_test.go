package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/topology"
)

func TestUnknownZonesAreReportedOnce(t *testing.T) {
	zoneMap := topology.New(map[topology.Zone]topology.Region{"a1": "a"})
	var zones unknownZones
	var reported []topology.Zone
	for _, zone := range []topology.Zone{"a1", "c1", "c1", "", "c2", "c1"} {
		if zones.firstSeenUnknown(zoneMap, zone) {
			reported = append(reported, zone)
		}
	}
	assert.DeepEqual(t, reported, []topology.Zone{"c1", "", "c2"})
	assert.Assert(t, !zones.firstSeenUnknown(topology.Map{}, "c3"), "without named regions there is one region")
}
