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

// Updates received before a suspension are not trusted after it, although by the monotonic clock
// they have just arrived.
func TestUpdateSourceExpiresDuringSuspension(t *testing.T) {
	var source updateSource
	source.received(clock.Now(), 0, true)
	assert.Assert(t, source.live())
	defer clock.SimulateSuspension(2 * peerlink.SilenceLimit)()
	assert.Assert(t, !source.live())
}

// A worker leaves while the machine of a router that receives updates is suspended. After resuming,
// the router reads the store at once, and sends the worker nothing.
func TestResumedRouterResyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store := newCutOffRouter(t)
		put(t, store, "w/left", workers.StateReady)
		elapse(5 * time.Second)
		r.updates.received(clock.Now().Add(time.Hour), 0, true) // trusted without end
		elapse(time.Second)
		remove(t, store, "w/left")
		assert.Equal(t, usable(r), 1)
		defer clock.SimulateSuspension(8 * time.Second)()
		r.handleResume(8 * time.Second)
		elapse(time.Second)
		assert.Equal(t, usable(r), 0)
	})
}
