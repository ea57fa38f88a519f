package peerlink

import (
	"maps"

	"github.com/shalefork/shalefork/internal/quota"
)

// quotaLinks is by which links processes tell of their tenants' use, and are told: a process is
// reached by the way on which it was heard last. The hub's lock guards it.
type quotaLinks struct {
	via map[string]*link
	// told is called with what linked processes tell.
	told func([]quota.Report)
}

// OnQuota sets what is called with what linked processes tell of tenants' use, by a leader and
// by a relay.
func (h *Hub) OnQuota(call func([]quota.Report)) { h.quotas.told = call }

// takeQuota takes what came by a link.
func (h *Hub) takeQuota(one *link, told []quota.Report) {
	if len(told) == 0 || h.quotas.told == nil {
		return
	}
	h.mu.Lock()
	if _, linked := h.links[one]; linked {
		h.quotas.heard(one, told)
	}
	h.mu.Unlock()
	h.quotas.told(told)
}

// heard notes by which link processes are reached.
func (q *quotaLinks) heard(one *link, told []quota.Report) {
	if q.via == nil {
		q.via = map[string]*link{}
	}
	for _, each := range told {
		q.via[each.Node] = one
	}
}

// drop forgets a link.
func (q *quotaLinks) drop(one *link) {
	maps.DeleteFunc(q.via, func(_ string, via *link) bool { return via == one })
}

// TellQuota tells processes what they may have run. Those that no link leads to are left out:
// the leader tells them again once they are heard.
func (h *Hub) SendQuota(grants []quota.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, grant := range grants {
		if via := h.quotas.via[grant.Node]; via != nil {
			via.quota = append(via.quota, grant)
			via.rouse()
		}
	}
}
