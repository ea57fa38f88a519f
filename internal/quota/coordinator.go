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
	// fullReportInterval is the pause between requests to one router to tell all.
	fullReportInterval = 500 * time.Millisecond
	// resendAfter is after how long a grant that was not acknowledged is sent again.
	resendAfter = 1500 * time.Millisecond
)

// Coordinator is the leader's side: it books how many units each router may hold in use at
// most, by the leader's knowledge. It is not safe for concurrent use.
type Coordinator struct {
	term  owner.Term
	bound Bound
	// opened is when it began to lead, and first says that nobody did before.
	startedAt   time.Time
	firstLeader bool
	// reserved says that this leader may deal what no leader before can have dealt.
	reserveClaimed bool
	// busy are the tenants that are marked as such in the store.
	busy map[routing.TenantName]bool
	// nodes is how many routers there are, linked or not.
	routerCount int
	pools       map[routing.TenantName]*pool
	members     map[string]*member
	// asked are routers that must tell all first, by their node.
	fullReportRequests map[string]*fullReportRequest
	// ending are booked units that end by themselves, by time.
	expiring []expiringUnits
	// changes are tenants that went over their limits, or came back, since they were told.
	changes []Change
	// removed is when tenants' limits were removed.
	removedAt map[routing.TenantName]time.Time
	// known are the routers that may hold anything, as far as that is stored.
	membership membership
}

// pool is what is known of one tenant.
type pool struct {
	// limit is how many units there are, and dealt how many of them routers are given at most.
	limit, allocatable int
	// unknown is how many of them leaders before may have dealt, and calm says that it was no
	// more than is dealt of a tenant that is not marked as busy.
	priorUnits  int
	wasUnmarked bool
	// wanted says that the tenant asks for more than is dealt of a calm one; cooling that a busy one
	// has not since coolSince, and is dealt no more; unmarking that its mark is being taken off.
	markWanted, cooling, unmarking bool
	lowDemandSince                 time.Time
	// booked is how many units may be in use, here or at routers that are lost.
	outstanding int
	// reported is how many of them routers have brought from an earlier leader, and floors are
	// those that are kept for routers out of reach.
	reportedUnits, floorUnits int
	// floorsReported are the floors that routers have brought, among those of leaders before.
	reportedFloorUnits int
	// brought are the routers of which that was counted, by their node.
	countedReporters map[string]bool
	// frozen is until when nothing is given, since the tenant was removed and is back.
	frozenUntil time.Time
	// dirty says that a router wants more.
	dirty bool
	// over says that the tenant asks for more than there is, missed at last.
	overLimit bool
	missingAt time.Time
}

// member is a router that has told what it holds.
type member struct {
	node        string
	incarnation int64
	// until and floorUntil are when its leases end at the latest.
	leaseEnd, floorLeaseEnd time.Time
	// stamp is the newest one that was heard, at stampAt; echoed is the last that was sent.
	stamp, echoedStamp int64
	stampReceivedAt    time.Time
	// told is the number of its last message, granted that of the last grant to it, acked the
	// last that it has acknowledged.
	lastReport, lastGrant, ackedGrant uint64
	grantedAt                         time.Time
	// changed says that a hold has changed since the last grant.
	changed bool
	// greeted says that it was told for how long units are withheld.
	firstGrantSent bool
	holdings       map[routing.TenantName]*holding
}

// hold is what a router may hold of one tenant.
type holding struct {
	// units were granted last, by the grant with the number, and floor of them last longer.
	units, floor  int
	grantSequence uint64
	// booked is how many the router may hold until it has acknowledged that grant.
	outstanding int
	// used is what it told last, and short how many requests found no unit then.
	used, shortfall int
}

// asked is a router that must tell all.
type fullReportRequest struct {
	incarnation int64
	sentAt      time.Time
	due         bool
}

// ending are units that are booked until a time.
type expiringUnits struct {
	at         time.Time
	tenant     routing.TenantName
	units      int
	floorUnits int
}

// NewCoordinator returns the side of a leader that begins to lead. first says that there was
// none before, in any term.
func NewCoordinator(now time.Time, term owner.Term, first bool, bound Bound) *Coordinator {
	return &Coordinator{
		term: term, bound: bound, startedAt: now, firstLeader: first,
		pools: map[routing.TenantName]*pool{}, members: map[string]*member{}, fullReportRequests: map[string]*fullReportRequest{},
		removedAt: map[routing.TenantName]time.Time{}, busy: map[routing.TenantName]bool{},
		membership: newMembership(),
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
		previous := allowed
		if known := c.pools[name]; known != nil {
			previous = known.limit
		}
		lowered = lowered || allowed < previous
		c.setAllocatable(now, name, c.bound.Allocatable(tenant, c.busy[name] && !c.isCooling(name)))
		p := c.pools[name]
		p.limit = allowed
		// What leaders before have dealt grows with the limit: routers scale it.
		p.priorUnits = max(p.priorUnits, c.bound.Allocatable(tenant, !p.wasUnmarked), p.priorUnits*allowed/previous)
	}
	for name := range c.pools {
		if tenant := tenants[name]; tenant == nil || !tenant.Limited() {
			c.remove(now, name)
		}
	}
	return lowered
}

// cools reports whether a busy tenant is dealt no more than a calm one.
func (c *Coordinator) isCooling(name routing.TenantName) bool {
	return c.pools[name] != nil && c.pools[name].cooling
}

// Tenants is how many tenants have a limit.
func (c *Coordinator) TenantCount() int { return len(c.pools) }

// setDealt sets how many units of a tenant are dealt. Routers lower their credits alike when they learn of a
// lower one, so the credits are lowered here at once, and booked until they say so.
func (c *Coordinator) setAllocatable(now time.Time, name routing.TenantName, units int) {
	p := c.pools[name]
	if p == nil {
		p = &pool{allocatable: units, dirty: true, countedReporters: map[string]bool{}}
		if at, wasRemoved := c.removedAt[name]; wasRemoved {
			p.frozenUntil = at.Add(c.bound.TakeoverDelay())
		}
		c.pools[name] = p
		for _, m := range c.members { // they may have credits that another leader gave, or this one
			c.requestFullReport(m.node, m.incarnation)
		}
		return
	}
	previous := p.allocatable
	p.allocatable, p.dirty = units, p.dirty || units != previous
	if units >= previous {
		return
	}
	for _, m := range c.members {
		if h := m.holdings[name]; h != nil {
			floor := h.floor * units / previous
			p.floorUnits -= h.floor - floor
			h.floor = floor
			c.setUnits(m, h, h.units*units/previous)
		}
	}
}

// remove forgets a tenant that has no limit any longer.
func (c *Coordinator) remove(now time.Time, name routing.TenantName) {
	c.removedAt[name] = now
	delete(c.pools, name)
	for _, m := range c.members {
		delete(m.holdings, name)
	}
	c.expiring = slices.DeleteFunc(c.expiring, func(e expiringUnits) bool { return e.tenant == name })
}

// set changes the units that a member is to be granted. Whoever raises them books them first.
func (c *Coordinator) setUnits(m *member, h *holding, units int) {
	if units == h.units {
		return
	}
	h.units, h.grantSequence = units, m.lastGrant+1
	m.changed = true
}

// ended takes a router out of the books whose process has ended by a time. What it has spent until
// then rests.
func (c *Coordinator) memberRestarted(endedBy time.Time, m *member) {
	delete(c.members, m.node)
	for name, h := range m.holdings {
		p := c.pools[name]
		p.addOutstanding(-h.outstanding, -h.floor)
		c.addExpiring(endedBy.Add(c.bound.reuseDelay()), name, h.outstanding, 0)
	}
}

// expired takes a router out of the books whose lease has ended. Its floor stays.
func (c *Coordinator) memberExpired(m *member) {
	delete(c.members, m.node)
	c.membership.heldUntil[m.node] = m.floorLeaseEnd.Add(c.bound.reuseDelay())
	for name, h := range m.holdings {
		p := c.pools[name]
		p.addOutstanding(-h.outstanding, -h.floor)
		c.addExpiring(m.leaseEnd.Add(c.bound.reuseDelay()), name, h.outstanding-h.floor, 0)
		c.addExpiring(m.floorLeaseEnd.Add(c.bound.reuseDelay()), name, h.floor, h.floor)
	}
}

// Tick does what time brings and returns the grants that are due. sure says that this leader's
// authority holds: without it nothing is given and no lease is renewed. nodes is how many
// routers there are.
func (c *Coordinator) Tick(now time.Time, authorized bool, routers int) []Grant {
	c.routerCount = routers
	c.releaseExpired(now)
	for _, node := range slices.Sorted(maps.Keys(c.members)) {
		if m := c.members[node]; now.After(m.leaseEnd) {
			c.memberExpired(m)
		}
	}
	if !authorized {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		if p := c.pools[name]; p.dirty {
			c.allocate(now, name, p)
		}
	}
	return append(c.fullReportGrants(now), c.grants(now)...)
}

// release ends what was booked until now.
func (c *Coordinator) releaseExpired(now time.Time) {
	c.expiring = slices.DeleteFunc(c.expiring, func(e expiringUnits) bool {
		due := now.After(e.at)
		if due {
			c.pools[e.tenant].addOutstanding(-e.units, -e.floorUnits)
			c.pools[e.tenant].dirty = true
		}
		return due
	})
}

// sortByRemaining sorts members by how many units they have left, the fewest first.
func sortByRemaining(list []*member, name routing.TenantName) {
	slices.SortFunc(list, func(a, b *member) int {
		x, y := a.holdings[name], b.holdings[name]
		return cmp.Or(cmp.Compare(x.units-x.used, y.units-y.used), cmp.Compare(a.node, b.node))
	})
}
