package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Usage is what one router knows of one tenant.
type Usage struct {
	Tenant routing.TenantName
	// Limit of all routers, Credit of this one, and what of it is Used, in units.
	Limit, Credit, Used int
	// Granted and Refused count requests since the process began.
	Granted, Refused uint64
}

// Usages returns what is known of the tenants with limits, those with the highest limits first.
func (h *Holder) Usages(now time.Time) []Usage {
	at := now.Sub(h.epoch)
	h.mu.Lock()
	defer h.mu.Unlock()
	usages := make([]Usage, 0, len(h.accounts))
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		a.window.advance(at)
		usages = append(usages, Usage{
			Tenant: name, Limit: a.limit, Credit: h.credit(a, at), Used: a.window.used, Granted: a.granted, Refused: a.refused,
		})
	}
	slices.SortStableFunc(usages, func(a, b Usage) int { return cmp.Compare(b.Limit, a.Limit) })
	return usages
}
