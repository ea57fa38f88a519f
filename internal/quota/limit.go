// Package quota enforces tenants' limits over all routers together.
//
// A limit is a number of units. A unit admits one request and can be spent again once a window has
// passed. Each router holds a credit of units for each tenant, which it spends without asking the
// leader (Holder); the leader grants the credits and tracks how many units may be in use at each
// router (Coordinator). Such units are called outstanding. Unless the limit has just been lowered,
// they never exceed it, so no window up to the limit's length contains more requests, whichever
// routers or leaders are partitioned, suspended or lost.
//
// The package does no I/O and reads no clock: each event carries its time, and messages are plain
// types.
package quota

import (
	"math"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Durations of leases. A router counts them from when it sent the stamp that a grant echoes, the
// leader from when it received that stamp, so a lease ends at the router first.
const (
	// Lease is how long a credit stays outstanding at the leader after it received the stamp; the
	// router uses the credit for leaseMargin less. It is longer than it takes to find another
	// leader, so that the loss of a leader has no effect on credits.
	Lease = 6 * time.Second
	// FloorLease is how long a router that is out of reach may use its floor. It bounds how long the
	// units of a lost router stay unused.
	FloorLease = 5 * time.Minute
	// leaseMargin is subtracted from leases at the router: a process notices the suspension of its
	// machine half a second after it resumes, and clocks drift.
	leaseMargin = time.Second
	// renewInterval is the interval between renewals if there is nothing else to report.
	renewInterval = 1500 * time.Millisecond
)

const (
	// slotTime is the resolution at which a router records when units were spent.
	slotTime = 100 * time.Millisecond
	// maxDispatchDelay is the maximum time from admission of a request to its arrival at a worker,
	// since it may wait for one. Spent units stay in use that much longer.
	maxDispatchDelay = 400 * time.Millisecond
	// floorShare is the share of the allocatable units that is reserved for floors.
	floorShare = 0.2
)

// Bound holds the parameters that turn a tenant's rate and burst into a number of requests per
// window.
type Bound struct {
	Window time.Duration
	// Overshoot, a share of what rate and burst allow within a window, and Slack, a number of
	// requests, are added to it.
	Overshoot, Slack float64
}

// unmarkedShare is the share of the limit that is allocatable for a tenant that is not marked as
// busy: usual demand is a third to half of what a window allows. The rest is a reserve that a new
// leader can allocate at once, also after a restart of all routers, when no process knows which
// units are in use. When the whole limit was allocatable, all requests of such tenants were refused
// for 11.5 s after a full restart.
const unmarkedShare = 0.6

// busyThreshold is the share of the allocatable units from which on demand marks a tenant as busy.
// It is below one since units move between routers on demand only as long as some are left.
const busyThreshold = 0.9

// Allocatable returns how many units of a tenant may be granted to routers; all if it is marked as
// busy.
func (b Bound) Allocatable(tenant *routing.Tenant, busy bool) int {
	allowed := b.Allowed(tenant)
	if busy {
		return allowed
	}
	return unmarkedAllocatable(allowed)
}

// unmarkedAllocatable returns how many units of a limit are allocatable for a tenant that is not
// marked as busy.
func unmarkedAllocatable(limit int) int { return int(math.Ceil(unmarkedShare * float64(limit))) }

// TakeoverDelay returns how long after a leader's end routers that no other leader knows of may use
// the credits that it granted, and the units spent from these stay in use.
func (b Bound) TakeoverDelay() time.Duration { return Lease + b.reuseDelay() }

// Allowed returns how many requests of a tenant may arrive at workers within a window; zero if the
// tenant has no limit.
func (b Bound) Allowed(tenant *routing.Tenant) int {
	if !tenant.Limited() {
		return 0
	}
	allowed := tenant.Rate*b.Window.Seconds() + tenant.Burst
	return int(allowed*(1+b.Overshoot) + b.Slack)
}

// reuseDelay returns the maximum time after which a spent unit can be spent again.
func (b Bound) reuseDelay() time.Duration {
	return time.Duration(b.slots()) * slotTime
}

// slots returns how many slots of slotTime a router records.
func (b Bound) slots() int {
	return int((b.Window+maxDispatchDelay+slotTime-1)/slotTime) + 1
}
