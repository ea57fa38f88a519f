package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

const (
	// askEvery is the pause between requests to one router to tell all.
	askEvery = 500 * time.Millisecond
	// resendAfter is after how long a grant that was not acknowledged is sent again.
	resendAfter = 1500 * time.Millisecond
)

// Coordinator is the leader's side: it books how many units each router may hold in use at
// most, by the leader's knowledge. It is not safe for concurrent use.
type Coordinator struct {
	term  owner.Term
	bound Bound
	// opened is when it began to lead, and first says that nobody did before.
	opened time.Time
	first  bool
	// reserved says that this leader may deal what no leader before can have dealt.
	reserved bool
	// busy are the tenants that are marked as such in the store.
	busy map[routing.TenantName]bool
	// nodes is how many routers there are, linked or not.
	nodes   int
	pools   map[routing.TenantName]*pool
	members map[string]*member
	// asked are routers that must tell all first, by their node.
	asked map[string]*asked
	// ending are booked units that end by themselves, by time.
	ending []ending
	// changes are tenants that went over their limits, or came back, since they were told.
	changes []Change
	// removed is when tenants' limits were removed.
	removed map[routing.TenantName]time.Time
	// known are the routers that may hold anything, as far as that is stored.
	known members
}

// pool is what is known of one tenant.
type pool struct {
	// limit is how many units there are, and dealt how many of them routers are given at most.
	limit, dealt int
	// unknown is how many of them leaders before may have dealt, and calm says that it was no
	// more than is dealt of a tenant that is not marked as busy.
	unknown int
	calm    bool
	// wanted says that the tenant asks for more than is dealt of a calm one; cooling that a busy one
	// has not since coolSince, and is dealt no more; unmarking that its mark is being taken off.
	wanted, cooling, unmarking bool
	coolSince                  time.Time
	// booked is how many units may be in use, here or at routers that are lost.
	booked int
	// reported is how many of them routers have brought from an earlier leader, and floors are
	// those that are kept for routers out of reach.
	reported, floors int
	// floorsReported are the floors that routers have brought, among those of leaders before.
	floorsReported int
	// brought are the routers of which that was counted, by their node.
	brought map[string]bool
	// frozen is until when nothing is given, since the tenant was removed and is back.
	frozen time.Time
	// dirty says that a router wants more.
	dirty bool
	// over says that the tenant asks for more than there is, missed at last.
	over   bool
	missed time.Time
}

// member is a router that has told what it holds.
type member struct {
	node string
	life int64
	// until and floorUntil are when its leases end at the latest.
	until, floorUntil time.Time
	// stamp is the newest one that was heard, at stampAt; echoed is the last that was sent.
	stamp, echoed int64
	stampAt       time.Time
	// told is the number of its last message, granted that of the last grant to it, acked the
	// last that it has acknowledged.
	told, granted, acked uint64
	grantedAt            time.Time
	// changed says that a hold has changed since the last grant.
	changed bool
	// greeted says that it was told for how long units are withheld.
	greeted bool
	holds   map[routing.TenantName]*hold
}

// hold is what a router may hold of one tenant.
type hold struct {
	// units were granted last, by the grant with the number, and floor of them last longer.
	units, floor int
	number       uint64
	// booked is how many the router may hold until it has acknowledged that grant.
	booked int
	// used is what it told last, and short how many requests found no unit then.
	used, short int
}

// asked is a router that must tell all.
type asked struct {
	life int64
	at   time.Time
	due  bool
}

// ending are units that are booked until a time.
type ending struct {
	at     time.Time
	tenant routing.TenantName
	units  int
	floors int
}

// NewCoordinator returns the side of a leader that begins to lead. first says that there was
// none before, in any term.
func NewCoordinator(now time.Time, term owner.Term, first bool, bound Bound) *Coordinator {
	return &Coordinator{
		term: term, bound: bound, opened: now, first: first,
		pools: map[routing.TenantName]*pool{}, members: map[string]*member{}, asked: map[string]*asked{},
		removed: map[routing.TenantName]time.Time{}, busy: map[routing.TenantName]bool{},
		known: newMembers(),
	}
}

// Use takes the tenants of the configuration in force. It reports whether less is allowed of any:
// routers may hold more of it now than is dealt, so no new leader may rely on that for
// Bound.TakeoverDelay.
func (c *Coordinator) SetTenants(now time.Time, tenants map[routing.TenantName]*routing.Tenant) (lowered bool) {
	for name, tenant := range tenants {
		allowed := c.bound.Allowed(tenant)
		if allowed == 0 {
			continue
		}
		was := allowed
		if before := c.pools[name]; before != nil {
			was = before.limit
		}
		lowered = lowered || allowed < was
		c.setDealt(now, name, c.bound.Allocatable(tenant, c.busy[name] && !c.cools(name)))
		p := c.pools[name]
		p.limit = allowed
		// What leaders before have dealt grows with the limit: routers scale it.
		p.unknown = max(p.unknown, c.bound.Allocatable(tenant, !p.calm), p.unknown*allowed/was)
	}
	for name := range c.pools {
		if tenant := tenants[name]; tenant == nil || !tenant.Limited() {
			c.remove(now, name)
		}
	}
	return lowered
}

// cools reports whether a busy tenant is dealt no more than a calm one.
func (c *Coordinator) cools(name routing.TenantName) bool {
	return c.pools[name] != nil && c.pools[name].cooling
}

// Tenants is how many tenants have a limit.
func (c *Coordinator) TenantCount() int { return len(c.pools) }

// setDealt sets how many units of a tenant are dealt. Routers lower their credits alike when they learn of a
// lower one, so the credits are lowered here at once, and booked until they say so.
func (c *Coordinator) setDealt(now time.Time, name routing.TenantName, units int) {
	p := c.pools[name]
	if p == nil {
		p = &pool{dealt: units, dirty: true, brought: map[string]bool{}}
		if at, back := c.removed[name]; back {
			p.frozen = at.Add(c.bound.TakeoverDelay())
		}
		c.pools[name] = p
		for _, m := range c.members { // they may have credits that another leader gave, or this one
			c.ask(m.node, m.life)
		}
		return
	}
	before := p.dealt
	p.dealt, p.dirty = units, p.dirty || units != before
	if units >= before {
		return
	}
	for _, m := range c.members {
		if h := m.holds[name]; h != nil {
			floor := h.floor * units / before
			p.floors -= h.floor - floor
			h.floor = floor
			c.set(m, h, h.units*units/before)
		}
	}
}

// remove forgets a tenant that has no limit any longer.
func (c *Coordinator) remove(now time.Time, name routing.TenantName) {
	c.removed[name] = now
	delete(c.pools, name)
	for _, m := range c.members {
		delete(m.holds, name)
	}
	c.ending = slices.DeleteFunc(c.ending, func(e ending) bool { return e.tenant == name })
}

// set changes the units that a member is to be granted. Whoever raises them books them first.
func (c *Coordinator) set(m *member, h *hold, units int) {
	if units == h.units {
		return
	}
	h.units, h.number = units, m.granted+1
	m.changed = true
}

// ended takes a router out of the books whose process has ended by a time. What it has spent until
// then rests.
func (c *Coordinator) ended(by time.Time, m *member) {
	delete(c.members, m.node)
	for name, h := range m.holds {
		p := c.pools[name]
		p.book(-h.booked, -h.floor)
		c.end(by.Add(c.bound.rest()), name, h.booked, 0)
	}
}

// expired takes a router out of the books whose lease has ended. Its floor stays.
func (c *Coordinator) expired(m *member) {
	delete(c.members, m.node)
	c.known.heldUntil[m.node] = m.floorUntil.Add(c.bound.rest())
	for name, h := range m.holds {
		p := c.pools[name]
		p.book(-h.booked, -h.floor)
		c.end(m.until.Add(c.bound.rest()), name, h.booked-h.floor, 0)
		c.end(m.floorUntil.Add(c.bound.rest()), name, h.floor, h.floor)
	}
}

// Tick does what time brings and returns the grants that are due. sure says that this leader's
// authority holds: without it nothing is given and no lease is renewed. nodes is how many
// routers there are.
func (c *Coordinator) Tick(now time.Time, sure bool, nodes int) []Grant {
	c.nodes = nodes
	c.release(now)
	for _, node := range slices.Sorted(maps.Keys(c.members)) {
		if m := c.members[node]; now.After(m.until) {
			c.expired(m)
		}
	}
	if !sure {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		if p := c.pools[name]; p.dirty {
			c.deal(now, name, p)
		}
	}
	return append(c.asks(now), c.grants(now)...)
}

// release ends what was booked until now.
func (c *Coordinator) release(now time.Time) {
	c.ending = slices.DeleteFunc(c.ending, func(e ending) bool {
		due := now.After(e.at)
		if due {
			c.pools[e.tenant].book(-e.units, -e.floors)
			c.pools[e.tenant].dirty = true
		}
		return due
	})
}

// sortByLeft sorts members by how many units they have left, the fewest first.
func sortByLeft(list []*member, name routing.TenantName) {
	slices.SortFunc(list, func(a, b *member) int {
		x, y := a.holds[name], b.holds[name]
		return cmp.Or(cmp.Compare(x.units-x.used, y.units-y.used), cmp.Compare(a.node, b.node))
	})
}
