package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
)

// newTestHolder returns a holder with a credit of 50 units and a floor of 5, and the time from
// which its lease counts.
func newTestHolder(tenant *routing.Tenant) (*Holder, time.Time) {
	began := time.Unix(1000, 0)
	h := NewHolder(began, "n", 1, Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20})
	h.SetTenants(tenants(tenant))
	h.ApplyGrant(began, Grant{Node: "n", StartTime: 1, Term: 1, Sequence: 1, Stamp: 1, Credits: map[routing.TenantName]Credit{
		tenant.Name: {50, h.bound.Allowed(tenant), 5},
	}})
	return h, began
}

// acquireAll acquires units until none is left, all at one moment, and returns how many it got.
func acquireAll(h *Holder, at time.Time, tenant *routing.Tenant) int {
	count := 0
	for granted, _ := h.Acquire(at, tenant); granted; granted, _ = h.Acquire(at, tenant) {
		count++
	}
	return count
}

func TestCreditEndsWithLease(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		granted int
	}{
		"held":              {0, 50},
		"lease ended":       {Lease, 5},
		"floor lease ended": {FloorLease, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
			h, began := newTestHolder(tenant)
			assert.Equal(t, acquireAll(h, began.Add(test.after), tenant), test.granted)
		})
	}
}

// What a router reports after the end of its lease is all that stays outstanding at the leader.
func TestRenewedLeaseRestoresNoExpiredCredit(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	h, began := newTestHolder(tenant)
	h.ApplyGrant(began, Grant{Node: "n", StartTime: 1, Term: 2, FullReport: true})
	at := began.Add(2 * Lease)
	report := h.Report(at)
	assert.Assert(t, report.Full)
	assert.Equal(t, report.Tenants["t"].credit(), 5)
	h.ApplyGrant(began, Grant{Node: "n", StartTime: 1, Term: 2, Stamp: report.Stamp})
	assert.Equal(t, acquireAll(h, at, tenant), 5)
}

// A request that is sent to its worker late counts from then on, and one that did not run is not
// counted.
func TestUnitIsInUseFromSendTime(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	h, began := newTestHolder(tenant)
	assert.Equal(t, acquireAll(h, began, tenant), 50)
	h.RecordSent(began, began.Add(3*time.Second), tenant)
	h.Release(began, tenant)
	assert.Equal(t, acquireAll(h, began.Add(3*time.Second), tenant), 1)
	h.ApplyGrant(began, Grant{Node: "n", StartTime: 1, Term: 1, Stamp: 5000})
	assert.Equal(t, acquireAll(h, began.Add(h.bound.reuseDelay()), tenant), 48)
}

// A router that starts gets units with one message each way, since it receives requests at once.
func TestNewRouterGetsUnitsAtOnce(t *testing.T) {
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
	granted, _ := h.Acquire(now, tenant)
	assert.Assert(t, granted)
}

// Credits of an earlier leader are dropped when a later leader, which has a report that there are
// none, sends a grant.
func TestLaterLeaderReplacesEarlierCredits(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	h, began := newTestHolder(tenant)
	h.ApplyGrant(began, Grant{Node: "n", StartTime: 1, Term: 2, Sequence: 1, Stamp: 1, Credits: map[routing.TenantName]Credit{"u": {3, 50, 0}}})
	assert.Equal(t, acquireAll(h, began, tenant), 0)
}

// While a new leader withholds units, callers are asked to retry after that, so that they are not
// refused again.
func TestRetryWaitCoversWithheldUnits(t *testing.T) {
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
	granted, wait := h.Acquire(now, tenant)
	assert.Assert(t, !granted)
	assert.Assert(t, wait > bound.TakeoverDelay() && wait < bound.TakeoverDelay()+bound.Window, wait)
	assert.Equal(t, len(c.Tick(now, true, 1)), 0, "the withheld time is sent once")
}

// A router whose lease has ended reports less than it was granted, while the same grant is on its
// way to it a second time. What that grant restores must stay outstanding.
func TestResentGrantStaysOutstanding(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 20, Burst: 20}
	now := time.Unix(1000, 0)
	bound := Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	c := NewCoordinator(now, 1, true, bound)
	c.SetTenants(now, tenants(tenant))
	c.HandleReport(now, Report{Node: "n", StartTime: 1, Sequence: 1, Stamp: 1, Full: true})
	first := c.Tick(now, true, 1)
	assert.Equal(t, len(first), 1)
	now = now.Add(resendAfter)
	again := c.Tick(now, true, 1)
	assert.Equal(t, len(again), 1)
	grantedUnits := again[0].Credits["t"].units()
	assert.Assert(t, grantedUnits > 0)
	c.HandleReport(now, Report{Node: "n", StartTime: 1, Term: 1, Sequence: 2, Ack: first[0].Sequence, Stamp: 2, Full: true, Tenants: map[routing.TenantName]TenantReport{"t": {0, 0, 1, 1}}})
	assert.Assert(t, c.pools["t"].outstanding >= grantedUnits)
}
