package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Hear takes what a router tells.
func (c *Coordinator) HandleReport(now time.Time, told Report) {
	if told.Term > c.term {
		return
	}
	m := c.members[told.Node]
	if m != nil && m.life != told.Incarnation {
		if told.Incarnation < m.life {
			return
		}
		c.ended(told.begun(now), m)
		m = nil
	}
	starts := told.Term == 0 && told.Full // it has been given nothing in its life
	switch {
	case told.Term < c.term && !starts, m == nil && !told.Full:
		c.ask(told.Node, told.Incarnation)
		return
	case m == nil:
		m = c.join(now, told)
	case told.Sequence <= m.told:
		return
	case told.Sequence != m.told+1 && !told.Full:
		c.ask(told.Node, told.Incarnation)
		return
	}
	if told.Full {
		delete(c.asked, told.Node)
		c.bring(now, m, told)
	}
	m.told, m.stamp, m.stampAt = told.Sequence, told.Stamp, now
	c.hear(now, m, told)
}

// ask lets a router tell all with the next grants.
func (c *Coordinator) ask(node string, life int64) {
	if a := c.asked[node]; a != nil && a.life >= life {
		return
	}
	c.asked[node] = &asked{life: life, due: true}
}

// join takes a router into the books. What it holds was given by an earlier leader.
func (c *Coordinator) join(now time.Time, told Report) *member {
	m := &member{
		node: told.Node, life: told.Incarnation, until: now.Add(Lease), floorUntil: now.Add(FloorLease),
		holds: map[routing.TenantName]*hold{},
	}
	c.members[m.node] = m
	c.noteJoined(now, told)
	for _, p := range c.pools {
		p.dirty = true
	}
	return m
}

// bring books what a router tells that this leader has not given it.
func (c *Coordinator) bring(now time.Time, m *member, told Report) {
	for name, use := range told.Tenants {
		p := c.pools[name]
		if p == nil || m.holds[name] != nil {
			continue
		}
		h := &hold{units: use.credit(), booked: use.credit(), floor: use.floor()}
		m.holds[name] = h
		c.set(m, h, use.under(p.limit))
		p.book(use.credit(), use.floor())
		if !p.brought[m.node] { // what it brings once more was counted then
			p.brought[m.node] = true
			p.reported += max(use.credit(), use.used())
			p.floorsReported += use.floor()
		}
		c.end(now.Add(c.bound.rest()), name, use.used()-use.credit(), 0)
	}
}

// book adds to what is booked.
func (p *pool) book(units, floors int) {
	p.booked += units
	p.floors += floors
}

// end books units that end by themselves.
func (c *Coordinator) end(at time.Time, name routing.TenantName, units, floors int) {
	if p := c.pools[name]; p != nil && units > 0 {
		p.book(units, floors)
		c.ending = append(c.ending, ending{at: at, tenant: name, units: units, floors: floors})
	}
}

// hear takes the uses that a member tells, and what it has acknowledged.
func (c *Coordinator) hear(now time.Time, m *member, told Report) {
	for name, h := range m.holds {
		use, isTold := told.Tenants[name]
		if !isTold && !told.Full {
			continue
		}
		h.used, h.short = use.used(), use.short()
		if h.number > told.Ack {
			continue
		}
		if told.Full && told.Ack == m.granted { // it has dropped some, and no grant is on its way that brings them back
			h.floor = min(h.floor, use.floor())
			h.units = min(h.units, use.credit())
			c.set(m, h, min(h.units, use.under(c.pools[name].limit)))
		}
		c.settle(now, name, h)
	}
	for name, use := range told.Tenants {
		p := c.pools[name]
		if p == nil {
			continue
		}
		h := m.hold(name)
		h.used, h.short = use.used(), use.short()
		p.dirty = true
	}
	m.acked = max(m.acked, told.Ack)
}

// hold returns what a member may hold of a tenant.
func (m *member) hold(name routing.TenantName) *hold {
	h := m.holds[name]
	if h == nil {
		h = &hold{}
		m.holds[name] = h
	}
	return h
}

// settle books no more than what a router holds that has told its use since it took the last
// grant. Units in use beyond that end by themselves.
func (c *Coordinator) settle(now time.Time, name routing.TenantName, h *hold) {
	p := c.pools[name]
	over := h.booked - h.units
	if over <= 0 {
		return
	}
	p.book(-over, 0)
	h.booked = h.units
	c.end(now.Add(c.bound.rest()), name, h.used-h.units, 0)
}
