package quota

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

const (
	// coolShare of what is dealt of a calm tenant is the most that a busy one asks for while it
	// cools down, and coolFor for how long: after it, and not after each lull, it counts as calm
	// again, so that the next leader has a reserve of it.
	coolShare = 0.75
	coolFor   = 5 * time.Second
)

// Mark notes that tenants are marked as busy in the store: all that is allowed of them is dealt.
func (c *Coordinator) MarkBusy(names ...routing.TenantName) {
	for _, name := range names {
		c.busy[name] = true
		if p := c.pools[name]; p != nil {
			p.dealt, p.cooling, p.coolSince, p.wanted, p.dirty = p.limit, false, time.Time{}, false, true
		}
	}
}

// Wanted returns the tenants that are to be marked as busy.
func (c *Coordinator) TenantsToMark() []routing.TenantName {
	return c.named(func(p *pool) bool { return p.wanted })
}

// Cooled returns the busy tenants whose marks are to be taken off the store: of no more is booked
// than is dealt of a calm tenant. They get no more until Unmark tells that it is done.
func (c *Coordinator) TenantsToUnmark() []routing.TenantName {
	names := c.named(func(p *pool) bool { return p.cooling && p.booked <= p.dealt })
	for _, name := range names {
		c.pools[name].unmarking = true
	}
	return names
}

// Unmark notes that the marks of tenants were taken off the store.
func (c *Coordinator) UnmarkBusy(names ...routing.TenantName) {
	for _, name := range names {
		delete(c.busy, name)
		if p := c.pools[name]; p != nil {
			p.cooling, p.unmarking, p.dirty = false, false, true
		}
	}
}

// named returns the tenants of some pools, in order.
func (c *Coordinator) named(is func(*pool) bool) []routing.TenantName {
	var names []routing.TenantName
	for name, p := range c.pools {
		if is(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// judgeMark notes whether a tenant is to be marked as busy, or cools down, by how many units it
// asks for and how many may be booked now.
func (c *Coordinator) judgeMark(now time.Time, name routing.TenantName, p *pool, asked, most int) {
	if !c.busy[name] {
		// Where units are withheld a mark would bring none now, and cost the next leader its reserve.
		p.wanted = most == p.dealt && float64(asked) >= busyShare*float64(p.dealt)
		return
	}
	calm := dealtOfCalm(p.limit)
	switch {
	case p.unmarking:
	case float64(asked) > coolShare*float64(calm):
		p.coolSince = time.Time{}
		if p.cooling {
			p.cooling, p.dealt, p.dirty = false, p.limit, true
		}
	case p.coolSince.IsZero():
		p.coolSince = now
	case !p.cooling && now.Sub(p.coolSince) >= coolFor:
		p.cooling = true
		c.setDealt(now, name, calm)
	}
}
