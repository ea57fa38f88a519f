package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

// update returns what the link's process lacks. It returns false if the link is to end.
func (h *Hub) update(l *link) (Update, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	update, ok := h.header(l, now)
	if !ok || update.Redirect != "" {
		return update, ok
	}
	update.Config = h.configChangesFor(l, now)
	h.addEntries(l, &update, now)
	h.addOwners(l, &update, now)
	if !h.needsPieces(l) {
		h.bulkTransfers.release(l)
	}
	h.addSuspects(l, &update, now)
	update.Limits = encodeFacts(now, dueFacts(h.Limits, &l.limits, now), workerlimit.NewMessage)
	update.Leaving = encodeFacts(now, dueFacts(h.Leaving, &l.leaving, now), departure.NewMessage)
	update.Quota, l.pendingGrants = l.pendingGrants, nil
	update.Peers = h.peerAddressesFor(l, now)
	update.Helpers = h.helpersFor(l, now)
	if h.leading {
		update.Delegation = h.standbys.extend(l, now)
	}
	return update, true
}

// header returns the fields that are part of each update to a link. It returns false if the link is
// to end. The caller holds mu.
func (h *Hub) header(l *link, now time.Time) (Update, bool) {
	update := Update{Term: h.term, Links: len(h.links), Strongest: h.maxStrength()}
	switch {
	case h.leading:
		update.Leading, update.ReadState = true, h.readState()
		update.ReadState.Settled = h.settled(update.ReadState, now)
		update.Nodes, update.LeadershipUncertain, update.StoreUnreachable = h.nodes(now), h.leadershipUncertain, h.storeUnreachable
		update.Redirect = h.relayFor(l, now)
	case h.upstream != nil:
		h.upstream.fillHeader(&update, h.readState(), now)
		if update.Redirect == "" {
			update.Redirect = h.subRelayFor(l, now)
		}
	default:
		return Update{}, false
	}
	update.HoldsLeftMillis = h.holdsLeftMillis(now)
	return update, true
}

// settled reports whether this process, which must lead, has reached the key-value service for long
// enough to know which workers have left. The caller holds mu.
func (h *Hub) settled(state ReadState, now time.Time) bool {
	return !h.storeUnreachable && !h.leadershipUncertain && state.SettleMillis == 0 && now.Sub(h.openedAt) >= workers.SettleTime
}
