package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/topology"
)

// Two processes at 1 and 9 ms from a store that takes 4 ms per call: regardless of the random part
// of their delays, the near one campaigns first.
func TestProcessesNearTheStoreCampaignFirst(t *testing.T) {
	zoneMap := topology.New(map[topology.Zone]topology.Region{"a1": "a", "b1": "b"})
	for name, test := range map[string]struct {
		places    topology.Map
		calls     []time.Duration
		least, to time.Duration
	}{
		"near":            {zoneMap, []time.Duration{40 * time.Millisecond, 6 * time.Millisecond, 500 * time.Millisecond}, 60 * time.Millisecond, 60*time.Millisecond + campaignJitter},
		"far":             {zoneMap, []time.Duration{22 * time.Millisecond}, 220 * time.Millisecond, 220*time.Millisecond + campaignJitter},
		"not measured":    {zoneMap, nil, 0, campaignJitter},
		"a slow store":    {zoneMap, []time.Duration{3 * time.Second}, maxDistanceDelay, maxDistanceDelay + campaignJitter},
		"one region only": {topology.Map{}, []time.Duration{22 * time.Millisecond}, 0, campaignJitter},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			r.zoneMap = test.places
			r.hub.Strength = 1
			for _, took := range test.calls {
				r.store.noteLatency(took)
			}
			for range 50 {
				pause := r.campaignDelay()
				assert.Assert(t, pause >= test.least && pause < test.to, "%s", pause)
			}
		})
	}
}
