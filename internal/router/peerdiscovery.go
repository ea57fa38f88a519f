package router

import (
	"context"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// maxPeersQueried is how many processes are queried for the leader at once. If the service refuses
// a third of the processes, it refuses all of four drawn at random in one case of 81.
const maxPeersQueried = 4

// queryPeersForLeader queries other processes for the leader, since the service does not name it;
// false if none of them knows one. excluded is an address that is known not to lead.
func (r *Router) queryPeersForLeader(ctx context.Context, excluded string) (election.Leader, bool) {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	addresses := r.peers.Sample(maxPeersQueried, r.settings.PeerListen)
	found := make(chan string, maxPeersQueried)
	for _, address := range addresses {
		go func() { found <- r.queryPeerForLeader(bounded, address, excluded) }()
	}
	for range addresses {
		if leader := <-found; leader != "" {
			return election.Leader{Address: leader}, true
		}
	}
	return election.Leader{}, false
}

// queryPeerForLeader returns the leader's address if the process at the given address leads or
// follows a leader; empty otherwise.
func (r *Router) queryPeerForLeader(ctx context.Context, address, excluded string) string {
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

// awaitOtherLeader waits until peers name another leader than the lost one. It queries them only
// while this process can't reach the service, which otherwise names the next leader.
func (r *Router) awaitOtherLeader(ctx context.Context, lost election.Leader) {
	backoff := clock.Backoff{Initial: retryPause, Max: maxRetryPause}
	for ctx.Err() == nil {
		backoff.Sleep(ctx)
		if !r.config.storeUnreachable(clock.Now()) {
			continue
		}
		if _, found := r.queryPeersForLeader(ctx, lost.Address); found {
			return
		}
	}
}
