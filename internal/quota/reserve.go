package quota

import (
	"math"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// reportsIn is how long after the beginning of a leader routers that live have told what they
// hold.
const reportsIn = 500 * time.Millisecond

// Claims reports whether it is time to claim the reserve: what routers hold that have not told
// it by now may be held by nobody.
func (c *Coordinator) ReserveClaimDue(now time.Time) bool {
	return !c.first && !c.reserved && now.Sub(c.opened) >= reportsIn
}

// Leftovers are shares of tenants' limits, from 0 to 1, that routers may hold which have told
// nothing. A tenant that is not named has none.
type UnreportedShares struct {
	// All is the least share of all tenants.
	All     float64                        `json:"all,omitempty"`
	Tenants map[routing.TenantName]float64 `json:"tenants,omitempty"`
}

// of returns a tenant's share.
func (l UnreportedShares) of(name routing.TenantName) float64 { return max(l.All, l.Tenants[name]) }

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
func (c *Coordinator) Unreported(dealt UnreportedShares) UnreportedShares {
	left := UnreportedShares{Tenants: map[routing.TenantName]float64{}}
	for name, p := range c.pools {
		share := float64(p.dealtBefore(dealt.of(name))-p.reported) / float64(max(1, p.limit))
		if !c.busy[name] && share > 0 {
			left.Tenants[name] = min(1, share)
		}
	}
	return left
}

// dealtBefore is how many units leaders before may have dealt of a calm tenant: what is dealt of
// such, and a share of what is allowed that an earlier one still did not know to be held.
func (p *pool) dealtBefore(share float64) int {
	return min(p.limit, p.dealt+int(math.Ceil(share*float64(p.limit))))
}

// Reserved lets this leader deal at once what leaders before can't have dealt, of tenants that
// were not marked as busy. Whoever calls it has told which are, and has stored the Leftover of
// the same share for leaders that come within Bound.TakeoverDelay.
func (c *Coordinator) ReserveClaimed(dealt UnreportedShares) {
	c.reserved = true
	for name, p := range c.pools {
		p.dirty = true
		if !c.busy[name] {
			p.calm, p.unknown = true, min(p.unknown, p.dealtBefore(dealt.of(name)))
		}
	}
}

// most is how many units of a tenant may be booked now. After a change of leaders nobody may
// be given what a router may still hold that has not told it.
func (c *Coordinator) most(now time.Time, p *pool) int {
	since := now.Sub(c.opened)
	known, is := c.allKnown()
	switch {
	case now.Before(p.frozen):
		return 0
	case is && now.After(known):
		return p.dealt
	case c.first, since > FloorLease+c.bound.rest():
		return p.dealt
	case since > c.bound.TakeoverDelay():
		return min(p.dealt, p.limit-max(0, int(math.Ceil(floorShare*float64(p.unknown)))-p.floorsReported))
	case c.reserved:
		return min(p.dealt, max(p.reported, p.limit-max(0, p.unknown-p.reported)))
	}
	return min(p.dealt, p.reported)
}
