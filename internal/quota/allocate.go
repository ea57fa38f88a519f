package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// silentAfter is after how long a router gets nothing more that has said nothing: it is likely to be
// gone. What it holds stays booked.
const silentAfter = 2 * renewInterval

// deal gives routers what they need of a tenant's units: what they use, and an equal share of
// the rest, so that the next request finds a unit. Where too few are left it takes from those
// that have more.
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
	unreachable := p.outstanding - held // by routers that are silent or gone
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

// floors sets the floors of routers that have none yet, as far as the share kept for them goes.
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

// wants is how many units a router needs where it may have spare ones beyond its use; zero as
// long as it has enough left.
func (h *holding) unitsNeeded(spare int) int {
	left := h.units - h.used
	if h.shortfall == 0 && left > spare/2 {
		return 0
	}
	return max(0, h.shortfall-left, spare-left)
}

// raise gives units that are not booked, and returns how many were missing.
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
		// What it was told to give up is booked still, and may be given again, unless the limit
		// was lowered: more may be booked then than there is.
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

// lower takes units from routers that have more left than the spare ones, those with most first.
// What they were asked for before is on its way. It returns how many units are still missing.
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
