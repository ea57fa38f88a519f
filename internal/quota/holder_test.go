package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
)

// newHeld is a holder of 50 units, 5 of them its floor, whose lease counts from its epoch.
func newHeld(tenant *routing.Tenant) (*Holder, time.Time) {
	began := time.Unix(1000, 0)
	h := NewHolder(began, "n", 1, Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20})
	h.SetTenants(tenants(tenant))
	h.ApplyGrant(began, Grant{Node: "n", Incarnation: 1, Term: 1, Sequence: 1, Stamp: 1, Credits: map[routing.TenantName]Credit{
		tenant.Name: {50, h.bound.Allowed(tenant), 5},
	}})
	return h, began
}

// taken counts how many requests a holder grants at one moment.
func takes(h *Holder, at time.Time, tenant *routing.Tenant) int {
	count := 0
	for granted, _ := h.Take(at, tenant); granted; granted, _ = h.Take(at, tenant) {
		count++
	}
	return count
}

func TestACreditEndsWithItsLease(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		granted int
	}{
		"held":              {0, 50},
		"lease ended":       {Lease, 5},
		"floor's has ended": {FloorLease, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
			h, began := newHeld(tenant)
			assert.Equal(t, takes(h, began.Add(test.after), tenant), test.granted)
		})
	}
}

// What a router told after its lease had ended is all that the leader books.
func TestARenewedLeaseBringsNothingBack(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	h, began := newHeld(tenant)
	h.ApplyGrant(began, Grant{Node: "n", Incarnation: 1, Term: 2, FullReport: true})
	at := began.Add(2 * Lease)
	told := h.Report(at)
	assert.Assert(t, told.Full)
	assert.Equal(t, told.Tenants["t"].credit(), 5)
	h.ApplyGrant(began, Grant{Node: "n", Incarnation: 1, Term: 2, Stamp: told.Stamp})
	assert.Equal(t, takes(h, at, tenant), 5)
}

// A request that reaches its worker late counts from then, and one that did not run is not counted.
func TestAUnitRestsFromWhenItsRequestWasSent(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	h, began := newHeld(tenant)
	assert.Equal(t, takes(h, began, tenant), 50)
	h.Sent(began, began.Add(3*time.Second), tenant)
	h.Return(began, tenant)
	assert.Equal(t, takes(h, began.Add(3*time.Second), tenant), 1)
	h.ApplyGrant(began, Grant{Node: "n", Incarnation: 1, Term: 1, Stamp: 5000})
	assert.Equal(t, takes(h, began.Add(h.bound.rest()), tenant), 48)
}

// A router that starts needs one message each way: requests come to it at once.
func TestARouterThatStartsGetsUnitsAtOnce(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	now := time.Unix(1000, 0)
	bound := Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	c := NewCoordinator(now, 7, true, bound)
	c.SetTenants(now, tenants(tenant))
	h := NewHolder(now, "n", 1, bound)
	h.SetTenants(tenants(tenant))
	<-h.ReportTriggered()
	c.HandleReport(now, *h.Report(now))
	for _, grant := range c.Tick(now, true, 1) {
		h.ApplyGrant(now, grant)
	}
	granted, _ := h.Take(now, tenant)
	assert.Assert(t, granted)
}

// Nothing is left of an earlier leader's credits where a later one was told that there are none.
func TestALaterLeaderBooksAllThatIsHeld(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	h, began := newHeld(tenant)
	h.ApplyGrant(began, Grant{Node: "n", Incarnation: 1, Term: 2, Sequence: 1, Stamp: 1, Credits: map[routing.TenantName]Credit{"u": {3, 50, 0}}})
	assert.Equal(t, takes(h, began, tenant), 0)
}

// Where a new leader withholds units, callers are told to come back after that, not to be refused again.
func TestCallersComeBackOnceUnitsAreGiven(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	now := time.Unix(1000, 0)
	bound := Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	c := NewCoordinator(now, 7, false, bound)
	c.SetTenants(now, tenants(tenant))
	h := NewHolder(now, "n", 1, bound)
	h.SetTenants(tenants(tenant))
	c.HandleReport(now, *h.Report(now))
	for _, grant := range c.Tick(now, true, 1) {
		h.ApplyGrant(now, grant)
	}
	granted, wait := h.Take(now, tenant)
	assert.Assert(t, !granted)
	assert.Assert(t, wait > bound.TakeoverDelay() && wait < bound.TakeoverDelay()+bound.Window, wait)
	assert.Equal(t, len(c.Tick(now, true, 1)), 0, "it is told once")
}

// A router tells less than it was given, since its lease had ended, while the same grant is on its way
// to it once more: what that brings back stays booked.
func TestWhatAResentGrantBringsBackIsBooked(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	now := time.Unix(1000, 0)
	bound := Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	c := NewCoordinator(now, 1, true, bound)
	c.SetTenants(now, tenants(tenant))
	c.HandleReport(now, Report{Node: "n", Incarnation: 1, Sequence: 1, Stamp: 1, Full: true})
	first := c.Tick(now, true, 1)
	assert.Equal(t, len(first), 1)
	now = now.Add(resendAfter)
	again := c.Tick(now, true, 1)
	assert.Equal(t, len(again), 1)
	given := again[0].Credits["t"].units()
	assert.Assert(t, given > 0)
	c.HandleReport(now, Report{Node: "n", Incarnation: 1, Term: 1, Sequence: 2, Ack: first[0].Sequence, Stamp: 2, Full: true, Tenants: map[routing.TenantName]TenantReport{"t": {0, 0, 1, 1}}})
	assert.Assert(t, c.pools["t"].booked >= given)
}
