package peerlink

import (
	"maps"

	"github.com/shalefork/shalefork/internal/quota"
)

// quotaRoutes is by which links processes tell of their tenants' use, and are told: a process is
// reached by the way on which it was heard last. The hub's lock guards it.
type quotaRoutes struct {
	via map[string]*link
	// told is called with what linked processes tell.
	onQuota func([]quota.Told)
}

// OnQuota sets what is called with what linked processes tell of tenants' use, by a leader and
// by a relay.
func (h *Hub) OnQuota(call func([]quota.Told)) { h.quotaRoutes.onQuota = call }

// takeQuota takes what came by a link.
func (h *Hub) handleQuota(l *link, reports []quota.Told) {
	if len(reports) == 0 || h.quotaRoutes.onQuota == nil {
		return
	}
	h.mu.Lock()
	if _, linked := h.links[l]; linked {
		h.quotaRoutes.record(l, reports)
	}
	h.mu.Unlock()
	h.quotaRoutes.onQuota(reports)
}

// heard notes by which link processes are reached.
func (q *quotaRoutes) record(l *link, reports []quota.Told) {
	if q.via == nil {
		q.via = map[string]*link{}
	}
	for _, report := range reports {
		q.via[report.Node] = l
	}
}

// drop forgets a link.
func (q *quotaRoutes) drop(l *link) {
	maps.DeleteFunc(q.via, func(_ string, via *link) bool { return via == l })
}

// TellQuota tells processes what they may have run. Those that no link leads to are left out:
// the leader tells them again once they are heard.
func (h *Hub) SendQuota(grants []quota.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, grant := range grants {
		if via := h.quotaRoutes.via[grant.Node]; via != nil {
			via.pendingGrants = append(via.pendingGrants, grant)
			via.signal()
		}
	}
}
