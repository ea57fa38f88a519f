package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Usage is one router's view of one tenant.
type Usage struct {
	Tenant routing.TenantName
	// Limit applies to all routers together, Credit is that of this router, and Used the part of it
	// that is in use, all in units.
	Limit, Credit, Used int
	// Granted and Refused count requests since the start of the process.
	Granted, Refused uint64
}

// Usages returns the usage of all tenants with limits, highest limits first.
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
