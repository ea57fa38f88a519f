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
	// fullReportInterval is the minimum interval between requests for a full report to one router.
	fullReportInterval = 500 * time.Millisecond
	// resendAfter is the time after which a grant that was not acknowledged is sent again.
	resendAfter = 1500 * time.Millisecond
)

// Coordinator is the leader's side: it grants units to routers and tracks how many of them may be
// in use. It is not safe for concurrent use.
type Coordinator struct {
	term  owner.Term
	bound Bound
	// startedAt is when this leader began to lead. firstLeader is true if there was no leader in any
	// earlier term.
	startedAt   time.Time
	firstLeader bool
	// reserveClaimed is true if this leader may grant units that no previous leader can have
	// granted.
	reserveClaimed bool
	// busy are the tenants that are marked as busy in the store.
	busy map[routing.TenantName]bool
	// routerCount is the number of routers, linked or not.
	routerCount int
	pools       map[routing.TenantName]*pool
	members     map[string]*member
	// fullReportRequests are the routers that must send a full report first, by node.
	fullReportRequests map[string]*fullReportRequest
	// expiring are outstanding units that are released at a fixed time.
	expiring []expiringUnits
	// changes are those that Changes has not returned yet.
	changes []Change
	// removedAt is when tenants' limits were removed.
	removedAt map[routing.TenantName]time.Time
	// membership tracks the stored list of routers that may hold units.
	membership membership
}

// pool is the state of one tenant.
type pool struct {
	// limit is the tenant's limit in units, and allocatable how many of them may be granted to
	// routers.
	limit, allocatable int
	// priorUnits is the maximum number of units that previous leaders may have granted. wasUnmarked
	// is true if the tenant was not marked as busy when this leader claimed the reserve, which
	// lowers that number.
	priorUnits  int
	wasUnmarked bool
	// markWanted is true if the demand is too high for a tenant that is not marked as busy. cooling
	// is true if the demand of a marked tenant has been low since lowDemandSince, so that it is
	// allocated no more than an unmarked one; unmarking is true if its mark is being removed from
	// the store.
	markWanted, cooling, unmarking bool
	lowDemandSince                 time.Time
	// outstanding is how many units may be in use, at members or at routers that are lost.
	outstanding int
	// reportedUnits is how many of them members reported to hold from previous leaders. floorUnits
	// is the sum of the floors that routers may use while they are out of reach.
	reportedUnits, floorUnits int
	// reportedFloorUnits is the sum of the floors that members reported to hold from previous
	// leaders.
	reportedFloorUnits int
	// countedReporters are the nodes whose reports are counted in reportedUnits and
	// reportedFloorUnits.
	countedReporters map[string]bool
	// frozenUntil is the time until which no units are granted, since the tenant's limit was
	// removed and added again.
	frozenUntil time.Time
	// dirty is true if the allocation must be recomputed at the next tick.
	dirty bool
	// overLimit is true if the demand exceeds the limit; missingAt is when units were last missing.
	overLimit bool
	missingAt time.Time
}

// member is a router that has reported what it holds.
type member struct {
	node      string
	startTime int64
	// leaseEnd and floorLeaseEnd are when the router's leases end at the latest.
	leaseEnd, floorLeaseEnd time.Time
	// stamp is the newest one received, at stampReceivedAt; echoedStamp is the newest one that was
	// sent back in a grant.
	stamp, echoedStamp int64
	stampReceivedAt    time.Time
	// lastReport is the sequence number of the member's last report, lastGrant that of the last
	// grant to it, and ackedGrant that of the last grant that it has acknowledged.
	lastReport, lastGrant, ackedGrant uint64
	grantedAt                         time.Time
	// changed is true if a holding has changed since the last grant.
	changed bool
	// firstGrantSent is true if a grant was sent, which includes for how long units are withheld.
	firstGrantSent bool
	holdings       map[routing.TenantName]*holding
}

// holding is what a router may hold of one tenant.
type holding struct {
	// units is the credit as of the grant grantSequence. floor of them outlast the lease, until the
	// floor lease ends.
	units, floor  int
	grantSequence uint64
	// outstanding is how many units the router may hold until it has acknowledged that grant.
	outstanding int
	// used is the use in the last report, and shortfall how many requests found no unit according
	// to it.
	used, shortfall int
}

// fullReportRequest is the state of a request for a full report. due is true if it must be sent.
type fullReportRequest struct {
	startTime int64
	sentAt    time.Time
	due       bool
}

// expiringUnits are units that are outstanding until a time; floorUnits of them are floors.
type expiringUnits struct {
	at         time.Time
	tenant     routing.TenantName
	units      int
	floorUnits int
}

// NewCoordinator returns the coordinator of a leader that begins to lead now. first is true if there
// was no leader in any earlier term.
func NewCoordinator(now time.Time, term owner.Term, first bool, bound Bound) *Coordinator {
	return &Coordinator{
		term: term, bound: bound, startedAt: now, firstLeader: first,
		pools: map[routing.TenantName]*pool{}, members: map[string]*member{}, fullReportRequests: map[string]*fullReportRequest{},
		removedAt: map[routing.TenantName]time.Time{}, busy: map[routing.TenantName]bool{},
		membership: newMembership(),
	}
}

// SetTenants sets the tenants of the configuration in force. lowered reports that a tenant's limit
// was lowered: routers may now hold more than is allocatable, so for Bound.TakeoverDelay no new
// leader may rely on the allocatable units as an upper bound.
func (c *Coordinator) SetTenants(now time.Time, tenants map[routing.TenantName]*routing.Tenant) (lowered bool) {
	for name, tenant := range tenants {
		allowed := c.bound.Allowed(tenant)
		if allowed == 0 {
			continue
		}
		previous := allowed
		if existing := c.pools[name]; existing != nil {
			previous = existing.limit
		}
		lowered = lowered || allowed < previous
		c.setAllocatable(now, name, c.bound.Allocatable(tenant, c.busy[name] && !c.isCooling(name)))
		p := c.pools[name]
		p.limit = allowed
		// Units granted by previous leaders grow with the limit, since routers scale their credits
		// by it.
		p.priorUnits = max(p.priorUnits, c.bound.Allocatable(tenant, !p.wasUnmarked), p.priorUnits*allowed/previous)
	}
	for name := range c.pools {
		if tenant := tenants[name]; tenant == nil || !tenant.Limited() {
			c.remove(now, name)
		}
	}
	return lowered
}

// isCooling reports whether a tenant that is marked as busy is allocated no more than an unmarked
// one.
func (c *Coordinator) isCooling(name routing.TenantName) bool {
	return c.pools[name] != nil && c.pools[name].cooling
}

// TenantCount returns the number of tenants with a limit.
func (c *Coordinator) TenantCount() int { return len(c.pools) }

// setAllocatable sets how many units of a tenant may be granted. If they are fewer than before,
// members' credits are lowered in proportion, as routers do themselves when they learn of a lower
// limit; the units stay outstanding until the routers have acknowledged that.
func (c *Coordinator) setAllocatable(now time.Time, name routing.TenantName, units int) {
	p := c.pools[name]
	if p == nil {
		p = &pool{allocatable: units, dirty: true, countedReporters: map[string]bool{}}
		if at, wasRemoved := c.removedAt[name]; wasRemoved {
			p.frozenUntil = at.Add(c.bound.TakeoverDelay())
		}
		c.pools[name] = p
		for _, m := range c.members { // they may hold credits of a previous leader, or of this one before the limit was removed
			c.requestFullReport(m.node, m.startTime)
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

// remove forgets a tenant that no longer has a limit.
func (c *Coordinator) remove(now time.Time, name routing.TenantName) {
	c.removedAt[name] = now
	delete(c.pools, name)
	for _, m := range c.members {
		delete(m.holdings, name)
	}
	c.expiring = slices.DeleteFunc(c.expiring, func(e expiringUnits) bool { return e.tenant == name })
}

// setUnits changes the credit that a member is to be granted. The caller must add raised units to
// the outstanding ones before the grant is sent.
func (c *Coordinator) setUnits(m *member, h *holding, units int) {
	if units == h.units {
		return
	}
	h.units, h.grantSequence = units, m.lastGrant+1
	m.changed = true
}

// memberRestarted removes a member whose process had ended by endedBy. Units that it spent until
// then stay in use for the reuse delay.
func (c *Coordinator) memberRestarted(endedBy time.Time, m *member) {
	delete(c.members, m.node)
	for name, h := range m.holdings {
		p := c.pools[name]
		p.addOutstanding(-h.outstanding, -h.floor)
		c.addExpiring(endedBy.Add(c.bound.reuseDelay()), name, h.outstanding, 0)
	}
}

// memberExpired removes a member whose lease has ended. Its floor stays outstanding until the floor
// lease ends.
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

// Tick performs what is due by now and returns the grants to send. authorized is true if this
// leader's authority holds: without it no units are granted and no lease is renewed. routers is the
// number of routers.
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

// releaseExpired releases expiring units whose time has come.
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

// sortByRemaining sorts members by how many units they have left, fewest first.
func sortByRemaining(list []*member, name routing.TenantName) {
	slices.SortFunc(list, func(a, b *member) int {
		x, y := a.holdings[name], b.holdings[name]
		return cmp.Or(cmp.Compare(x.units-x.used, y.units-y.used), cmp.Compare(a.node, b.node))
	})
}
