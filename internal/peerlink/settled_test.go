package peerlink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

func TestLeaderIsSettledAfterSettleTime(t *testing.T) {
	now := time.Unix(1000, 0)
	long := now.Add(-workers.SettleTime)
	for name, c := range map[string]struct {
		hub     *Hub
		state   ReadState
		settled bool
	}{
		"leading for SettleTime":        {hub: &Hub{openedAt: long}, settled: true},
		"just elected":                  {hub: &Hub{openedAt: now}},
		"store unreachable":             {hub: &Hub{openedAt: long, storeUnreachable: true}},
		"leadership uncertain":          {hub: &Hub{openedAt: long, leadershipUncertain: true}},
		"entries may only have expired": {hub: &Hub{openedAt: long}, state: ReadState{SettleMillis: 100}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.hub.settled(c.state, now), c.settled) })
	}
}

// A relay that alone was cut off from the service forwards the leader's state instead of its own.
func TestRelayForwardsLeaderSettledState(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		upstream upstream
		settled  bool
		settle   int64
	}{
		"steady":                    {upstream: upstream{lastUpdate: Update{ReadState: ReadState{Settled: true}}, currentAsOf: now}, settled: true},
		"not steady":                {upstream: upstream{currentAsOf: now}, settle: 900},
		"relay has lost the leader": {upstream: upstream{lastUpdate: Update{ReadState: ReadState{Settled: true}}, currentAsOf: now, leaderLost: true}, settle: 900},
	} {
		t.Run(name, func(t *testing.T) {
			var update Update
			c.upstream.fillHeader(&update, ReadState{SettleMillis: 900}, now)
			assert.Equal(t, update.ReadState.Settled, c.settled)
			assert.Equal(t, update.ReadState.SettleMillis, c.settle)
		})
	}
}
