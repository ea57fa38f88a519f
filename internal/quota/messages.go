package quota

import (
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Told is what a router tells the leader.
type Report struct {
	// Node names the router and Life when its process began, in milliseconds: a later life
	// is proof that the earlier one has ended.
	Node        string `json:"n"`
	Incarnation int64  `json:"l"`
	// Term is that of the leader which the router takes credits from.
	Term owner.Term `json:"t,omitempty"`
	// Number counts what the router has told, so that the leader sees what was lost.
	Sequence uint64 `json:"i"`
	// Ack is the number of the newest grant that the router has taken.
	Ack uint64 `json:"q,omitempty"`
	// Stamp is the router's time, in milliseconds since its epoch, and above zero.
	Stamp int64 `json:"s"`
	// All says that Tenants are all of which the router holds anything.
	Full bool `json:"a,omitempty"`
	// Tenants whose use has changed.
	Tenants map[routing.TenantName]TenantReport `json:"u,omitempty"`
}

// Use is what a router tells of a tenant: units in use, how many requests found none since it
// told last, and, where all is told, the credit and the floor that it holds and the limit that it
// knows, in units.
type TenantReport []int

func (u TenantReport) at(index int) int {
	if index < len(u) {
		return max(0, u[index])
	}
	return 0
}

func (u TenantReport) used() int   { return u.at(0) }
func (u TenantReport) short() int  { return u.at(1) }
func (u TenantReport) credit() int { return u.at(2) }
func (u TenantReport) floor() int  { return u.at(3) }

// under returns the credit as it is under a limit: a router that knows a higher one lowers it
// alike once it learns of this one.
func (u TenantReport) under(limit int) int {
	if told := u.at(4); told > limit {
		return u.credit() * limit / told
	}
	return u.credit()
}

// Grant is what the leader tells one router.
type Grant struct {
	Node        string     `json:"n"`
	Incarnation int64      `json:"l"`
	Term        owner.Term `json:"t"`
	// Number counts the grants to this router. Each holds all that the router has not
	// acknowledged.
	Sequence uint64 `json:"q,omitempty"`
	// Stamp is the newest one heard of the router, from which its lease counts.
	Stamp int64 `json:"s,omitempty"`
	// All asks the router to tell all that it holds.
	FullReport bool `json:"a,omitempty"`
	// WithheldMillis is for how much longer the leader withholds what others may hold, since it
	// began lately.
	WithheldMillis int64                         `json:"w,omitempty"`
	Credits        map[routing.TenantName]Credit `json:"c,omitempty"`
}

// Credit is how many units a router may hold in use, of how many that the limit had when the
// credit was given, and how many of them once its lease has ended.
type Credit [3]int

func (c Credit) units() int { return c[0] }
func (c Credit) limit() int { return c[1] }
func (c Credit) floor() int { return c[2] }
