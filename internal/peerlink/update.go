package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

// update gathers what the link has not heard.
func (h *Hub) update(one *link) (Update, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	update, ok := h.head(one, now)
	if !ok || update.Redirect != "" {
		return update, ok
	}
	update.Config = h.configFor(one, now)
	h.tellEntries(one, &update, now)
	h.tellOwners(one, &update, now)
	if !h.lacksPieces(one) {
		h.bulk.leave(one)
	}
	h.tellSuspects(one, &update, now)
	update.Limits = tellAll(now, factsFor(h.Limits, &one.limits, now), workerlimit.NewMessage)
	update.Leaving = tellAll(now, factsFor(h.Leaving, &one.leaving, now), departure.NewMessage)
	update.Quota, one.quota = one.quota, nil
	update.Peers = h.peersFor(one, now)
	if h.leading {
		update.Mandate = h.standbys.mandate(one, now)
	}
	return update, true
}

// head says what stands in each message to a link; false if the link is to end. The
// caller holds mu.
func (h *Hub) head(one *link, now time.Time) (Update, bool) {
	update := Update{Term: h.term, Links: len(h.links), Strongest: h.strongest()}
	switch {
	case h.leading:
		update.Leading, update.ReadState = true, h.known()
		update.ReadState.Settled = h.steady(update.ReadState, now)
		update.Nodes, update.LeadershipUncertain, update.StoreUnreachable = h.nodes(now), h.doubtful, h.deaf
		update.Redirect = h.relayFor(one, now)
	case h.upstream != nil:
		h.upstream.head(&update, h.known(), now)
		if update.Redirect == "" {
			update.Redirect = h.subRelayFor(one, now)
		}
	default:
		return Update{}, false
	}
	return update, true
}

// steady reports whether this process, which leads, has reached the key-value service for
// long enough to know which workers are gone. The caller holds mu.
func (h *Hub) steady(own ReadState, now time.Time) bool {
	return !h.deaf && !h.doubtful && own.SettleMillis == 0 && now.Sub(h.openedAt) >= workers.SettleTime
}
