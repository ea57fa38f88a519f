package quota

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

const (
	// coolingThreshold is the maximum demand of a marked tenant that cools down, as a share of the
	// allocatable units of an unmarked one. coolingDelay is how long the demand must stay below it:
	// after that, and not after each lull, the tenant is allocated as an unmarked one again, so
	// that the next leader has a reserve of its units.
	coolingThreshold = 0.75
	coolingDelay     = 5 * time.Second
)

// MarkBusy records that tenants are marked as busy in the store: their whole limits are
// allocatable.
func (c *Coordinator) MarkBusy(names ...routing.TenantName) {
	for _, name := range names {
		c.busy[name] = true
		if p := c.pools[name]; p != nil {
			p.allocatable, p.cooling, p.lowDemandSince, p.markWanted, p.dirty = p.limit, false, time.Time{}, false, true
		}
	}
}

// TenantsToMark returns the tenants that must be marked as busy.
func (c *Coordinator) TenantsToMark() []routing.TenantName {
	return c.tenantsWhere(func(p *pool) bool { return p.markWanted })
}

// TenantsToUnmark returns the tenants that have cooled down and whose marks are to be removed from
// the store, since no more of their units are outstanding than are allocatable for an unmarked
// tenant. They get no more units until UnmarkBusy is called.
func (c *Coordinator) TenantsToUnmark() []routing.TenantName {
	names := c.tenantsWhere(func(p *pool) bool { return p.cooling && p.outstanding <= p.allocatable })
	for _, name := range names {
		c.pools[name].unmarking = true
	}
	return names
}

// UnmarkBusy records that the marks of tenants were removed from the store.
func (c *Coordinator) UnmarkBusy(names ...routing.TenantName) {
	for _, name := range names {
		delete(c.busy, name)
		if p := c.pools[name]; p != nil {
			p.cooling, p.unmarking, p.dirty = false, false, true
		}
	}
}

// tenantsWhere returns the tenants whose pools match, sorted.
func (c *Coordinator) tenantsWhere(match func(*pool) bool) []routing.TenantName {
	var names []routing.TenantName
	for name, p := range c.pools {
		if match(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updateMark updates whether a tenant must be marked as busy, or cools down, by its demand in units
// and how many may be outstanding now.
func (c *Coordinator) updateMark(now time.Time, name routing.TenantName, p *pool, demand, maxUnits int) {
	if !c.busy[name] {
		// While units are withheld, a mark would add none now, and would cost the next leader its
		// reserve.
		p.markWanted = maxUnits == p.allocatable && float64(demand) >= busyThreshold*float64(p.allocatable)
		return
	}
	unmarked := unmarkedAllocatable(p.limit)
	switch {
	case p.unmarking:
	case float64(demand) > coolingThreshold*float64(unmarked):
		p.lowDemandSince = time.Time{}
		if p.cooling {
			p.cooling, p.allocatable, p.dirty = false, p.limit, true
		}
	case p.lowDemandSince.IsZero():
		p.lowDemandSince = now
	case !p.cooling && now.Sub(p.lowDemandSince) >= coolingDelay:
		p.cooling = true
		c.setAllocatable(now, name, unmarked)
	}
}
