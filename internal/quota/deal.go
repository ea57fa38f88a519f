package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// silentFor is after how long a router gets nothing more that has said nothing: it is likely to be
// gone. What it holds stays booked.
const silentFor = 2 * renewEvery

// deal gives routers what they need of a tenant's units: what they use, and an equal share of
// the rest, so that the next request finds a unit. Where too few are left it takes from those
// that have more.
func (c *Coordinator) deal(now time.Time, name routing.TenantName, p *pool) {
	if c.known.state == awaited {
		return
	}
	list := make([]*member, 0, len(c.members))
	used, held := 0, 0
	for _, m := range c.members {
		if now.Sub(m.stampAt) > silentFor || !c.mayGive(m) {
			continue
		}
		list = append(list, m)
		h := m.hold(name)
		used += h.used
		held += h.booked
	}
	sortByLeft(list, name)
	most := c.most(now, p)
	lost := p.booked - held // by routers that are silent or gone
	spare := max(0, most-lost-used) / max(1, len(list), c.nodes)
	c.floors(p, name, list)
	missing := c.raise(p, name, list, most, spare)
	left := missing
	if missing > 0 {
		left = c.lower(name, list, spare, missing)
	}
	c.judgeMark(now, name, p, used+missing, most)
	c.judge(now, name, p, left)
	p.dirty = missing > 0 || p.over
}

// floors sets the floors of routers that have none yet, as far as the share kept for them goes.
func (c *Coordinator) floors(p *pool, name routing.TenantName, list []*member) {
	kept := int(floorShare * float64(p.dealt))
	floor := kept / max(1, len(list), c.nodes)
	for _, m := range list {
		h := m.holds[name]
		more := min(floor, h.units) - h.floor
		if more > 0 && p.floors+more <= kept {
			h.floor += more
			p.floors += more
			h.number, m.changed = m.granted+1, true
		}
	}
}

// wants is how many units a router needs where it may have spare ones beyond its use; zero as
// long as it has enough left.
func (h *hold) wants(spare int) int {
	left := h.units - h.used
	if h.short == 0 && left > spare/2 {
		return 0
	}
	return max(0, h.short-left, spare-left)
}

// raise gives units that are not booked, and returns how many were missing.
func (c *Coordinator) raise(p *pool, name routing.TenantName, list []*member, most, spare int) (missing int) {
	needy := 0
	for _, m := range list {
		if m.holds[name].wants(spare) > 0 {
			needy++
		}
	}
	fair := max(1, (most-p.booked)/max(1, needy))
	for _, m := range list {
		h := m.holds[name]
		wants := h.wants(spare)
		if wants == 0 {
			continue
		}
		// What it was told to give up is booked still, and may be given again, unless the limit
		// was lowered: more may be booked then than there is.
		free := max(0, most-p.booked+h.booked-h.units)
		given := min(wants, free, fair)
		missing += wants - given
		if given <= 0 {
			continue
		}
		c.set(m, h, h.units+given)
		if more := h.units - h.booked; more > 0 {
			p.book(more, 0)
			h.booked += more
		}
	}
	return missing
}

// lower takes units from routers that have more left than the spare ones, those with most first.
// What they were asked for before is on its way. It returns how many units are still missing.
func (c *Coordinator) lower(name routing.TenantName, list []*member, spare, missing int) (left int) {
	for index := len(list) - 1; index >= 0 && missing > 0; index-- {
		m := list[index]
		h := m.holds[name]
		least := max(h.used+spare, h.floor)
		missing -= h.booked - h.units
		if missing <= 0 || h.short > 0 || h.units <= least {
			continue
		}
		taken := min(missing, h.units-least)
		c.set(m, h, h.units-taken)
		missing -= taken
	}
	return max(0, missing)
}
