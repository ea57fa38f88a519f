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
		hub    *Hub
		own    ReadState
		steady bool
	}{
		"for long":                     {hub: &Hub{openedAt: long}, steady: true},
		"just elected":                 {hub: &Hub{openedAt: now}},
		"reads nothing":                {hub: &Hub{openedAt: long, storeUnreachable: true}},
		"another may lead":             {hub: &Hub{openedAt: long, leadershipUncertain: true}},
		"entries may have lapsed only": {hub: &Hub{openedAt: long}, own: ReadState{SettleMillis: 100}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.hub.settled(c.own, now), c.steady) })
	}
}

// A relay that was cut off alone passes the leader's word on, not its own.
func TestRelayForwardsLeaderSettledState(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		upstream upstream
		steady   bool
		settle   int64
	}{
		"steady":                {upstream: upstream{lastUpdate: Update{ReadState: ReadState{Settled: true}}, currentAsOf: now}, steady: true},
		"not steady":            {upstream: upstream{currentAsOf: now}, settle: 900},
		"the relay has lost it": {upstream: upstream{lastUpdate: Update{ReadState: ReadState{Settled: true}}, currentAsOf: now, leaderLost: true}, settle: 900},
	} {
		t.Run(name, func(t *testing.T) {
			var update Update
			c.upstream.fillHeader(&update, ReadState{SettleMillis: 900}, now)
			assert.Equal(t, update.ReadState.Settled, c.steady)
			assert.Equal(t, update.ReadState.SettleMillis, c.settle)
		})
	}
}
