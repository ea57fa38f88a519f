package quota

import (
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Report is a router's report to the leader.
type Report struct {
	// Node names the router. StartTime is when its process started, in milliseconds, and identifies
	// the incarnation: a later one proves that the earlier one has ended.
	Node      string `json:"n"`
	StartTime int64  `json:"l"`
	// Term is that of the leader whose credits the router holds.
	Term owner.Term `json:"t,omitempty"`
	// Sequence numbers the router's reports, so that the leader detects lost ones.
	Sequence uint64 `json:"i"`
	// Ack is the sequence number of the newest grant that the router has applied.
	Ack uint64 `json:"q,omitempty"`
	// Stamp is the time at the router, in milliseconds since its epoch, and above zero.
	Stamp int64 `json:"s"`
	// Full is true if Tenants lists every tenant of which the router holds anything.
	Full bool `json:"a,omitempty"`
	// Tenants are those whose use has changed.
	Tenants map[routing.TenantName]TenantReport `json:"u,omitempty"`
}

// TenantReport is a router's report on one tenant: units in use, the number of requests that found
// none since the last report, and, in a full report, the credit and the floor that it holds and the
// limit that it knows, all in units.
type TenantReport []int

func (r TenantReport) at(index int) int {
	if index < len(r) {
		return max(0, r[index])
	}
	return 0
}

func (r TenantReport) used() int      { return r.at(0) }
func (r TenantReport) shortfall() int { return r.at(1) }
func (r TenantReport) credit() int    { return r.at(2) }
func (r TenantReport) floor() int     { return r.at(3) }

// creditUnder returns the credit under a limit: a router that knows a higher limit lowers its
// credit in proportion once it learns of this one.
func (r TenantReport) creditUnder(limit int) int {
	if reportedLimit := r.at(4); reportedLimit > limit {
		return r.credit() * limit / reportedLimit
	}
	return r.credit()
}

// Grant is the leader's message to one router.
type Grant struct {
	Node      string     `json:"n"`
	StartTime int64      `json:"l"`
	Term      owner.Term `json:"t"`
	// Sequence numbers the grants to this router. Each includes all credits that the router has not
	// acknowledged.
	Sequence uint64 `json:"q,omitempty"`
	// Stamp is the newest one received from the router; its lease counts from it.
	Stamp int64 `json:"s,omitempty"`
	// FullReport asks the router for a full report.
	FullReport bool `json:"a,omitempty"`
	// WithheldMillis is for how much longer the leader, which has taken over recently, withholds
	// units that other routers may hold.
	WithheldMillis int64                         `json:"w,omitempty"`
	Credits        map[routing.TenantName]Credit `json:"c,omitempty"`
}

// Credit is the number of units that a router may have in use, the limit when the credit was
// granted, and the floor: how many of the units it may use after its lease has ended.
type Credit [3]int

func (c Credit) units() int { return c[0] }
func (c Credit) limit() int { return c[1] }
func (c Credit) floor() int { return c[2] }
