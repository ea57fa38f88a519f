package router

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// What a leader told before a suspension is not relied on after it, though by the steady clock it
// was told a moment ago.
func TestUpdateSourceExpiresDuringSuspension(t *testing.T) {
	var word updateSource
	word.received(clock.Now(), 0, true)
	assert.Assert(t, word.live())
	defer clock.Suspend(2 * peerlink.SilenceLimit)()
	assert.Assert(t, !word.live())
}

// A worker leaves while the machine of a router that a leader tells of changes is suspended. The
// router reads the store itself once it wakes, at once, and sends it nothing.
func TestResumedRouterResyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store := newCutOffRouter(t)
		put(t, store, "w/left", workers.StateReady)
		elapse(5 * time.Second)
		r.updates.received(clock.Now().Add(time.Hour), 0, true) // relied on without end
		elapse(time.Second)
		remove(t, store, "w/left")
		assert.Equal(t, usable(r), 1)
		defer clock.Suspend(8 * time.Second)()
		r.handleResume(8 * time.Second)
		elapse(time.Second)
		assert.Equal(t, usable(r), 0)
	})
}
