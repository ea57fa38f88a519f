// Package quota keeps tenants within their limits over all routers together.
//
// A limit is a number of units. A unit lets one request run and is free again when a window
// has passed since. Each router holds a credit of units for each tenant and spends them
// without asking (Holder); the leader deals the units out and books who may hold how many
// (Coordinator). What is booked never sums to more than the limit, so no window of any length
// up to the limit's holds more requests, whoever is cut off, frozen or lost.
//
// The package is pure: each event carries its time, messages are types.
package quota

import (
	"math"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Times of leases. A router counts them from when it sent the stamp that a grant echoes, the
// leader from when it heard that stamp: the router's end comes first.
const (
	// Lease is for how long the leader books a credit after it heard the stamp; the router uses it
	// leaseGuard less: longer than it takes to find another
	// leader, so that the loss of one changes nothing.
	Lease = 6 * time.Second
	// FloorLease is for how long a router that is out of reach may use its floor. It bounds how
	// long the units of a router that is gone lie idle.
	FloorLease = 5 * time.Minute
	// leaseGuard is kept from the ends of leases at the router: a process that wakes notices
	// its machine's suspension half a second later, and clocks drift.
	leaseGuard = time.Second
	// renewEvery is the pause between renewals where nothing else is to be told.
	renewEvery = 1500 * time.Millisecond
)

const (
	// slotTime is the grain in which a router remembers when units were spent.
	slotTime = 100 * time.Millisecond
	// lateness is how much later than it was granted a request may reach its worker: it may
	// wait for one. Units rest that much longer.
	lateness = 400 * time.Millisecond
	// floorShare of a limit is kept for floors.
	floorShare = 0.2
)

// Bound says what is still within a limit.
type Bound struct {
	Window time.Duration
	// Overshoot is a share of what the limit allows within a window, and Slack a number of
	// requests, both beyond it.
	Overshoot, Slack float64
}

// calmShare of what is allowed is dealt of a tenant that is not marked as busy: users ask for a
// third to half of what a window allows as a rule. The rest is what a new leader can deal at
// once, also after a restart of all routers, which leaves nobody who knows what is in use. Dealt
// wholly, all requests of such tenants were refused for 11.5 s after it.
const calmShare = 0.6

// busyShare of what is dealt of a tenant must be asked for until it is marked as busy: what is
// dealt moves between routers on demand, but only as long as some is left.
const busyShare = 0.9

// Dealt is how many units of a tenant are dealt out.
func (b Bound) Allocatable(tenant *routing.Tenant, busy bool) int {
	allowed := b.Allowed(tenant)
	if busy {
		return allowed
	}
	return dealtOfCalm(allowed)
}

// dealtOfCalm is how many units of a limit are dealt of a tenant that is not marked as busy.
func dealtOfCalm(limit int) int { return int(math.Ceil(calmShare * float64(limit))) }

// Unknown is for how long after the end of a leader routers that no other knows of may use
// what it gave them, and what they have spent rests.
func (b Bound) TakeoverDelay() time.Duration { return Lease + b.rest() }

// Allowed is how many requests of a tenant may arrive at workers within a window; zero if the
// tenant has no limit.
func (b Bound) Allowed(tenant *routing.Tenant) int {
	if !tenant.Limited() {
		return 0
	}
	allowed := tenant.Rate*b.Window.Seconds() + tenant.Burst
	return int(allowed*(1+b.Overshoot) + b.Slack)
}

// rest is for how long a unit that was spent is not in use again, at most.
func (b Bound) rest() time.Duration {
	return time.Duration(b.slots()) * slotTime
}

// slots is how many slots a router remembers.
func (b Bound) slots() int {
	return int((b.Window+lateness+slotTime-1)/slotTime) + 1
}
