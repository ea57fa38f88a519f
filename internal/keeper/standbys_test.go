package keeper

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/topology"
)

// twoRegions maps zones z1 and z2 to region z, and y1 and y2 to region y.
var twoRegions = topology.New(map[topology.Zone]topology.Region{"z1": "z", "z2": "z", "y1": "y", "y2": "y"})

func TestStandbysPreferOtherZones(t *testing.T) {
	for name, c := range map[string]struct {
		peers   []peerlink.Peer
		regions topology.Map
		chosen  []string
	}{
		"nobody":          {},
		"one":             {peers: []peerlink.Peer{{Process: "a", Zone: "z1"}}, chosen: []string{"a"}},
		"all in one zone": {peers: []peerlink.Peer{{Process: "a", Zone: "z1"}, {Process: "b", Zone: "z1"}, {Process: "c", Zone: "z1"}}, chosen: []string{"a", "b"}},
		"others":          {peers: []peerlink.Peer{{Process: "a", Zone: "z1"}, {Process: "b", Zone: "z2"}, {Process: "c", Zone: "z2"}, {Process: "d", Zone: "z3"}}, chosen: []string{"b", "d"}},
		"leader's region first": {
			peers:   []peerlink.Peer{{Process: "a", Zone: "y1"}, {Process: "b", Zone: "z1"}, {Process: "c", Zone: "y2"}, {Process: "d", Zone: "z2"}, {Process: "e", Zone: "z2"}},
			regions: twoRegions, chosen: []string{"d", "b"},
		},
		"too few in the leader's region": {
			peers: []peerlink.Peer{{Process: "a", Zone: "y1"}, {Process: "b", Zone: "z2"}}, regions: twoRegions, chosen: []string{"b", "a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var chosen []string
			for _, peer := range chooseStandbys(c.peers, "z1", c.regions) {
				chosen = append(chosen, peer.Process)
			}
			assert.DeepEqual(t, chosen, c.chosen)
		})
	}
}
