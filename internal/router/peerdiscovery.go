package router

import (
	"context"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// maxPeersAsked is how many processes are asked at once for a leader: of four that were drawn at
// random, all are refused by the service too in one case of 81, where it refuses a third.
const maxPeersAsked = 4

// askAround asks other processes for the leader, since the service does not name it; false if none
// of them knows one. without is an address that is known not to lead.
func (r *Router) askPeersForLeader(ctx context.Context, excluded string) (election.Leader, bool) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := r.peers.Sample(maxPeersAsked, r.settings.PeerListen)
	found := make(chan string, maxPeersAsked)
	for _, address := range asked {
		go func() { found <- r.askPeerForLeader(bounded, address, excluded) }()
	}
	for range asked {
		if leading := <-found; leading != "" {
			return election.Leader{Address: leading}, true
		}
	}
	return election.Leader{}, false
}

// askFor returns the address of the leader if the process at an address is the one or follows it;
// empty if not.
func (r *Router) askPeerForLeader(ctx context.Context, address, excluded string) string {
	answer, ok := peerlink.QueryLeadership(ctx, address, 0)
	switch {
	case !ok:
		return ""
	case answer.Leading && address != excluded:
		return address
	case answer.Leader == "" || answer.Leader == excluded || answer.Leader == r.settings.PeerListen:
		return ""
	}
	r.peers.Add(answer.Leader)
	if leader, ok := peerlink.QueryLeadership(ctx, answer.Leader, 0); !ok || !leader.Leading {
		return ""
	}
	return answer.Leader
}

// awaitOther waits until another process than a leader that was lost is said to lead. It asks only
// while the service does not answer here: else that names the next one.
func (r *Router) awaitOtherLeader(ctx context.Context, lost election.Leader) {
	backoff := clock.Backoff{First: retryPause, Longest: maxRetryPause}
	for ctx.Err() == nil {
		backoff.Sleep(ctx)
		if !r.config.storeUnreachable(clock.Now()) {
			continue
		}
		if _, found := r.askPeersForLeader(ctx, lost.Address); found {
			return
		}
	}
}
