package peerlink

import (
	"maps"

	"github.com/shalefork/shalefork/internal/quota"
)

// quotaRoutes maps processes to the links over which they report their tenants' use and receive
// grants: the link of the last report. It is guarded by the hub's lock.
type quotaRoutes struct {
	via map[string]*link
	// onQuota is called with the tenants' use that linked processes report.
	onQuota func([]quota.Report)
}

// OnQuota sets the function that is called with the tenants' use that linked processes report.
// Leaders and relays use it.
func (h *Hub) OnQuota(call func([]quota.Report)) { h.quotaRoutes.onQuota = call }

// handleQuota handles quota reports from a link.
func (h *Hub) handleQuota(l *link, reports []quota.Report) {
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

// record records the link that leads to the reporting processes.
func (q *quotaRoutes) record(l *link, reports []quota.Report) {
	if q.via == nil {
		q.via = map[string]*link{}
	}
	for _, report := range reports {
		q.via[report.Node] = l
	}
}

// drop removes a link.
func (q *quotaRoutes) drop(l *link) {
	maps.DeleteFunc(q.via, func(_ string, via *link) bool { return via == l })
}

// SendQuota sends grants to processes. Processes that no link leads to are skipped: the leader
// sends their grants again after their next report.
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
