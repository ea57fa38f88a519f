package router

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
)

// watchSuspension detects when the machine was suspended, until ctx ends. State that expires by
// time needs no action, since clock.Now advances during a suspension; other state is invalidated
// here.
func (r *Router) watchSuspension(ctx context.Context) {
	if !clock.CountsSuspension() {
		r.log.Line(decision.KindSuspended).Msg("no clock that includes suspended time on this platform; suspensions are not detected")
		return
	}
	known := clock.Suspended()
	for clock.Sleep(ctx, clock.PollInterval) {
		clock.Refresh()
		if now := clock.Suspended(); now > known {
			r.handleResume(now - known)
			known = now
		}
	}
}

// handleResume invalidates state from before the suspension: the trust in the leader's updates, and
// idle connections to workers, which may have been closed unnoticed.
func (r *Router) handleResume(suspended time.Duration) {
	r.log.Line(decision.KindSuspended).Float64("for", suspended.Seconds()).Bool("led", r.hub.Leading()).
		Msg("discarding trust in the leader's updates and idle connections")
	r.workers.Expire()
	r.updates.invalidate()
	r.entries.requestResync()
	r.config.requestResync()
	r.proxy.DropIdle()
}
