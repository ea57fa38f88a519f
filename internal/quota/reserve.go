package quota

import (
	"math"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// reportGracePeriod is the time after the start of a leader within which running routers report
// what they hold.
const reportGracePeriod = 500 * time.Millisecond

// ReserveClaimDue reports whether it is time to claim the reserve: running routers have reported by
// now, so it is possible that no router holds the units that were not reported.
func (c *Coordinator) ReserveClaimDue(now time.Time) bool {
	return !c.firstLeader && !c.reserveClaimed && now.Sub(c.startedAt) >= reportGracePeriod
}

// UnreportedShares are shares of tenants' limits, from 0 to 1, that may be held by routers that
// have not reported. Only All applies to a tenant that is not listed.
type UnreportedShares struct {
	// All is the minimum share of every tenant.
	All     float64                        `json:"all,omitempty"`
	Tenants map[routing.TenantName]float64 `json:"tenants,omitempty"`
}

// share returns a tenant's share.
func (u UnreportedShares) share(name routing.TenantName) float64 { return max(u.All, u.Tenants[name]) }

// Sum returns the sum of All and of the listed tenants' shares.
func (u UnreportedShares) Sum() float64 {
	sum := u.All
	for _, share := range u.Tenants {
		sum += share
	}
	return sum
}

// Unreported returns the shares that may be held by routers that have not reported, if previous
// leaders may have granted prior beyond what is allocatable for tenants that are not marked as
// busy.
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

// maxPriorUnits returns how many units of a tenant that is not marked as busy previous leaders may
// have granted: those that are allocatable, and the share of the limit that was still unreported at
// a previous leader.
func (p *pool) maxPriorUnits(share float64) int {
	return min(p.limit, p.allocatable+int(math.Ceil(share*float64(p.limit))))
}

// ReserveClaimed lets this leader allocate at once the units of tenants not marked as busy that
// previous leaders can't have granted. The caller must have called MarkBusy for the marked tenants,
// and must have stored Unreported of the same prior shares for leaders that start within
// Bound.TakeoverDelay.
func (c *Coordinator) ReserveClaimed(prior UnreportedShares) {
	c.reserveClaimed = true
	for name, p := range c.pools {
		p.dirty = true
		if !c.busy[name] {
			p.wasUnmarked, p.priorUnits = true, min(p.priorUnits, p.maxPriorUnits(prior.share(name)))
		}
	}
}

// maxOutstanding returns how many units of a tenant may be outstanding now. After a change of
// leaders, units must not be granted that a router which has not reported may still hold.
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
