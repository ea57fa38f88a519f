package keeper

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/peerlink"
)

func TestStandbysStandInOtherZonesWhereTheyCan(t *testing.T) {
	for name, c := range map[string]struct {
		peers  []peerlink.Peer
		chosen []string
	}{
		"nobody":        {},
		"one":           {peers: []peerlink.Peer{{Process: "a", Zone: "z1"}}, chosen: []string{"a"}},
		"only the same": {peers: []peerlink.Peer{{Process: "a", Zone: "z1"}, {Process: "b", Zone: "z1"}, {Process: "c", Zone: "z1"}}, chosen: []string{"a", "b"}},
		"others":        {peers: []peerlink.Peer{{Process: "a", Zone: "z1"}, {Process: "b", Zone: "z2"}, {Process: "c", Zone: "z2"}, {Process: "d", Zone: "z3"}}, chosen: []string{"b", "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			var chosen []string
			for _, one := range chooseStandbys(c.peers, "z1") {
				chosen = append(chosen, one.Process)
			}
			assert.DeepEqual(t, chosen, c.chosen)
		})
	}
}
