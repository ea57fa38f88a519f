package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// silentAfter is the time without a report after which a router is granted nothing more, since it
// is likely to have ended. What it holds stays outstanding.
const silentAfter = 2 * renewInterval

// allocate grants routers the units of a tenant that they need: those in use, and an equal share of
// the rest, so that the next request finds a unit. If too few are free it reclaims units from
// routers that have more than that.
func (c *Coordinator) allocate(now time.Time, name routing.TenantName, p *pool) {
	if c.membership.state == membersAwaited {
		return
	}
	reachable := make([]*member, 0, len(c.members))
	used, held := 0, 0
	for _, m := range c.members {
		if now.Sub(m.stampReceivedAt) > silentAfter || !c.mayGrant(m) {
			continue
		}
		reachable = append(reachable, m)
		h := m.holding(name)
		used += h.used
		held += h.outstanding
	}
	sortByRemaining(reachable, name)
	maxUnits := c.maxOutstanding(now, p)
	unreachable := p.outstanding - held // at routers that are silent or lost
	spare := max(0, maxUnits-unreachable-used) / max(1, len(reachable), c.routerCount)
	c.assignFloors(p, name, reachable)
	missing := c.raiseCredits(p, name, reachable, maxUnits, spare)
	stillMissing := missing
	if missing > 0 {
		stillMissing = c.lowerCredits(name, reachable, spare, missing)
	}
	c.updateMark(now, name, p, used+missing, maxUnits)
	c.updateOverLimit(now, name, p, stillMissing)
	p.dirty = missing > 0 || p.overLimit
}

// assignFloors raises the floors of routers to an equal share of the units reserved for floors, as
// far as these suffice.
func (c *Coordinator) assignFloors(p *pool, name routing.TenantName, list []*member) {
	reservedUnits := int(floorShare * float64(p.allocatable))
	floor := reservedUnits / max(1, len(list), c.routerCount)
	for _, m := range list {
		h := m.holdings[name]
		added := min(floor, h.units) - h.floor
		if added > 0 && p.floorUnits+added <= reservedUnits {
			h.floor += added
			p.floorUnits += added
			h.grantSequence, m.changed = m.lastGrant+1, true
		}
	}
}

// unitsNeeded returns how many units a router needs in order to have spare ones beyond its use;
// zero while it has more than half of them left and no shortfall.
func (h *holding) unitsNeeded(spare int) int {
	left := h.units - h.used
	if h.shortfall == 0 && left > spare/2 {
		return 0
	}
	return max(0, h.shortfall-left, spare-left)
}

// raiseCredits grants units that are not outstanding, and returns how many are missing.
func (c *Coordinator) raiseCredits(p *pool, name routing.TenantName, list []*member, maxUnits, spare int) (missing int) {
	needing := 0
	for _, m := range list {
		if m.holdings[name].unitsNeeded(spare) > 0 {
			needing++
		}
	}
	fairShare := max(1, (maxUnits-p.outstanding)/max(1, needing))
	for _, m := range list {
		h := m.holdings[name]
		needed := h.unitsNeeded(spare)
		if needed == 0 {
			continue
		}
		// Units that the router was asked to give up are still outstanding, and may be granted to
		// it again, unless the limit was lowered: then more units may be outstanding than there
		// are.
		free := max(0, maxUnits-p.outstanding+h.outstanding-h.units)
		granted := min(needed, free, fairShare)
		missing += needed - granted
		if granted <= 0 {
			continue
		}
		c.setUnits(m, h, h.units+granted)
		if more := h.units - h.outstanding; more > 0 {
			p.addOutstanding(more, 0)
			h.outstanding += more
		}
	}
	return missing
}

// lowerCredits reclaims units from routers that have more than the spare ones left, those with most
// first. Units that they have already been asked to give up count as reclaimed. It returns how many
// units are still missing.
func (c *Coordinator) lowerCredits(name routing.TenantName, list []*member, spare, missing int) (stillMissing int) {
	for index := len(list) - 1; index >= 0 && missing > 0; index-- {
		m := list[index]
		h := m.holdings[name]
		keep := max(h.used+spare, h.floor)
		missing -= h.outstanding - h.units
		if missing <= 0 || h.shortfall > 0 || h.units <= keep {
			continue
		}
		reclaimed := min(missing, h.units-keep)
		c.setUnits(m, h, h.units-reclaimed)
		missing -= reclaimed
	}
	return max(0, missing)
}
