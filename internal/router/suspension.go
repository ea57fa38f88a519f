package router

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
)

// watchSuspension finds out when the machine was suspended, until ctx ends. Beliefs that rest on
// time end by themselves, since clock.Now has gone on; what does not is ended here.
func (r *Router) watchSuspension(ctx context.Context) {
	if !clock.Counts() {
		r.log.Line(decision.KindSuspended).Msg("this platform has no clock that counts the time for which a machine is suspended")
		return
	}
	known := clock.Suspended()
	for clock.Sleep(ctx, clock.LookEvery) {
		clock.Refresh()
		if now := clock.Suspended(); now > known {
			r.handleResume(now - known)
			known = now
		}
	}
}

// woke doubts what the process kept from before its machine was suspended: a leader's word, and
// resting connections to workers, which may have been closed unseen.
func (r *Router) handleResume(suspended time.Duration) {
	r.log.Line(decision.KindSuspended).Float64("for", suspended.Seconds()).Bool("led", r.hub.Leading()).
		Msg("the leader's word and resting connections are not relied on")
	r.workers.Expire()
	r.updates.invalidate()
	r.entries.requestResync()
	r.config.requestResync()
	r.proxy.DropIdle()
}
