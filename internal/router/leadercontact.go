package router

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
)

const (
	// contactPollInterval is how often a leader checks whether it is cut off from the workers.
	contactPollInterval = 50 * time.Millisecond
	// cutOffDelay delays campaigns of processes that can't open connections to the workers. It is longer
	// than the campaign delay of any other process.
	cutOffDelay = 1500 * time.Millisecond
	// failureDoubtTime is for how long failed orders show nothing about workers after this process was
	// cut off from them: orders are tried again within that time.
	failureDoubtTime = time.Second
	// contactReportTime is how long it takes at most until the other processes have noticed that the
	// workers can't be reached, and have reported it.
	contactReportTime = 2 * time.Second
)

// resignIfCutOff ends the tenure if this process is cut off from the workers while another one reaches
// them: it can't renew holds, and would take the keys of workers that have not failed. If none reaches
// them, another leader could do no more.
func (r *Router) resignIfCutOff(ctx context.Context, stop context.CancelFunc) {
	for clock.Sleep(ctx, contactPollInterval) {
		now := clock.Now()
		if r.reach.CutOff(now) && r.hub.AnyFollowerInContact(now) {
			r.log.Line(decision.KindReachability).Bool("reached", false).
				Msg("this process resigns as the leader, since others reach the workers")
			stop()
			return
		}
	}
}

// distrustsFailures reports whether failed orders show nothing about the workers: this process is, or has
// just been, cut off from nearly all of them, while others reach them or may not have reported yet. If no
// process reaches the workers they have failed.
func (r *Router) distrustsFailures(now time.Time) bool {
	if !r.reach.UnreachableWithin(now, failureDoubtTime) {
		return false
	}
	since, unreachable := r.reach.UnreachableSince()
	return !unreachable || now.Sub(since) < contactReportTime || r.hub.AnyFollowerInContact(now)
}
