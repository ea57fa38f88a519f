package router

import (
	"context"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// holdsEndAt returns when all holds that earlier leaders granted have certainly ended. Processes
// that report that they have stopped, or that are another incarnation, renew no holds beyond the
// orders in flight. Those that do not answer are kept as unresolved.
func (r *Router) holdsEndAt(ctx context.Context, tenure *election.Tenure) time.Time {
	times := r.keeper.Times
	r.keeper.Unresolved = r.stopRenewers(ctx, tenure.PreviousRenewers, tenure.Leader.Term)
	if len(tenure.PreviousRenewers) > 0 && len(r.keeper.Unresolved) == 0 {
		return clock.Now().Add(maxOrderDuration + times.MaxHold())
	}
	return clock.Now().Add(times.RenewalGrace + times.MaxHold())
}

// stopRenewers asks all processes that may renew holds to stop, and returns those that may not have
// stopped.
func (r *Router) stopRenewers(ctx context.Context, list []election.Renewer, term owner.Term) []election.Renewer {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	unresolved := make(chan election.Renewer, len(list))
	var requests sync.WaitGroup
	for _, renewer := range list {
		if renewer.Process == r.process {
			continue // it has stopped renewing, and leads now
		}
		requests.Go(func() {
			answer, ok := peerlink.QueryLeadership(bounded, renewer.Address, term)
			if !ok || (answer.Leading && answer.Process == renewer.Process) {
				unresolved <- renewer
			}
		})
	}
	requests.Wait()
	close(unresolved)
	var mayRenew []election.Renewer
	for renewer := range unresolved {
		mayRenew = append(mayRenew, renewer)
	}
	return mayRenew
}
