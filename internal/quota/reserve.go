package quota

import (
	"math"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// reportGracePeriod is how long after the beginning of a leader routers that live have told what they
// hold.
const reportGracePeriod = 500 * time.Millisecond

// Claims reports whether it is time to claim the reserve: what routers hold that have not told
// it by now may be held by nobody.
func (c *Coordinator) ReserveClaimDue(now time.Time) bool {
	return !c.firstLeader && !c.reserveClaimed && now.Sub(c.startedAt) >= reportGracePeriod
}

// Leftovers are shares of tenants' limits, from 0 to 1, that routers may hold which have told
// nothing. A tenant that is not named has none.
type UnreportedShares struct {
	// All is the least share of all tenants.
	All     float64                        `json:"all,omitempty"`
	Tenants map[routing.TenantName]float64 `json:"tenants,omitempty"`
}

// of returns a tenant's share.
func (l UnreportedShares) share(name routing.TenantName) float64 { return max(l.All, l.Tenants[name]) }

// Sum adds up the shares of the tenants that are named.
func (l UnreportedShares) Sum() float64 {
	sum := l.All
	for _, share := range l.Tenants {
		sum += share
	}
	return sum
}

// Leftover returns what routers may hold that have told nothing, if leaders before have dealt
// some shares beyond what is dealt of calm tenants.
func (c *Coordinator) Unreported(prior UnreportedShares) UnreportedShares {
	unreported := UnreportedShares{Tenants: map[routing.TenantName]float64{}}
	for name, p := range c.pools {
		share := float64(p.maxPriorUnits(prior.share(name))-p.reportedUnits) / float64(max(1, p.limit))
		if !c.busy[name] && share > 0 {
			unreported.Tenants[name] = min(1, share)
		}
	}
	return unreported
}

// dealtBefore is how many units leaders before may have dealt of a calm tenant: what is dealt of
// such, and a share of what is allowed that an earlier one still did not know to be held.
func (p *pool) maxPriorUnits(share float64) int {
	return min(p.limit, p.allocatable+int(math.Ceil(share*float64(p.limit))))
}

// Reserved lets this leader deal at once what leaders before can't have dealt, of tenants that
// were not marked as busy. Whoever calls it has told which are, and has stored the Leftover of
// the same share for leaders that come within Bound.TakeoverDelay.
func (c *Coordinator) ReserveClaimed(prior UnreportedShares) {
	c.reserveClaimed = true
	for name, p := range c.pools {
		p.dirty = true
		if !c.busy[name] {
			p.wasUnmarked, p.priorUnits = true, min(p.priorUnits, p.maxPriorUnits(prior.share(name)))
		}
	}
}

// most is how many units of a tenant may be booked now. After a change of leaders nobody may
// be given what a router may still hold that has not told it.
func (c *Coordinator) maxOutstanding(now time.Time, p *pool) int {
	since := now.Sub(c.startedAt)
	knownAt, ok := c.priorGrantsKnown()
	switch {
	case now.Before(p.frozenUntil):
		return 0
	case ok && now.After(knownAt):
		return p.allocatable
	case c.firstLeader, since > FloorLease+c.bound.reuseDelay():
		return p.allocatable
	case since > c.bound.TakeoverDelay():
		return min(p.allocatable, p.limit-max(0, int(math.Ceil(floorShare*float64(p.priorUnits)))-p.reportedFloorUnits))
	case c.reserveClaimed:
		return min(p.allocatable, max(p.reportedUnits, p.limit-max(0, p.priorUnits-p.reportedUnits)))
	}
	return min(p.allocatable, p.reportedUnits)
}
