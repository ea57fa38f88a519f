package router

import (
	"context"
	"crypto/rand"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
)

// A leader also grants units to the router of its own process, which reports to it without a link.
func TestLeaderGrantsItsOwnRouter(t *testing.T) {
	r := newTestRouter(t)
	config, err := new(routing.Config).WithTenants(map[routing.TenantName]*routing.Tenant{"a": {Name: "a", Rate: 10, Burst: 5}})
	assert.NilError(t, err)
	config.Version = 1
	assert.Assert(t, r.proxy.Use(config))
	tenant := config.Tenants["a"]
	refused, wait := r.quotas.Acquire(t.Context(), tenant)
	assert.Assert(t, refused.IsZero(), "no leader has granted units")
	assert.Assert(t, wait > 0)
	coordinator := quota.NewCoordinator(clock.Now(), 1, true, r.quotas.bound)
	r.quotas.setCoordinator(coordinator)
	for range 3 { // it sends a full report, receives it, and grants
		grants, lowered := r.quotas.step(config, coordinator, clock.Now().Add(time.Minute))
		assert.Assert(t, !lowered)
		r.quotas.handleGrants(grants)
	}
	granted, _ := r.quotas.Acquire(t.Context(), tenant)
	assert.Assert(t, !granted.IsZero())
	usages := r.quotas.holder.Usages(clock.Now())
	assert.Equal(t, len(usages), 1)
	assert.Equal(t, usages[0].Used, 1)
	r.quotas.Release(granted, tenant)
	assert.Equal(t, r.quotas.holder.Usages(clock.Now())[0].Used, 0)
}

// Guards against a fault: after one request had been refused for want of a leader, a starting router refused
// all others of the tenant at once for a second, as over its limit.
func TestRequestsWaitForTheFirstGrant(t *testing.T) {
	r := newTestRouter(t)
	config, err := new(routing.Config).WithTenants(map[routing.TenantName]*routing.Tenant{"a": {Name: "a", Rate: 10, Burst: 5}})
	assert.NilError(t, err)
	config.Version = 1
	assert.Assert(t, r.proxy.Use(config))
	tenant := config.Tenants["a"]
	r.quotas.holder.RecordRefused(clock.Now(), tenant)
	time.AfterFunc(firstGrantTimeout/2, func() {
		coordinator := quota.NewCoordinator(clock.Now(), 1, true, r.quotas.bound)
		r.quotas.setCoordinator(coordinator)
		for range 3 {
			grants, _ := r.quotas.step(config, coordinator, clock.Now().Add(time.Minute))
			r.quotas.handleGrants(grants)
		}
	})
	granted, _ := r.quotas.Acquire(t.Context(), tenant)
	assert.Assert(t, !granted.IsZero())
	assert.Assert(t, !r.quotas.AwaitsFirstGrant())
}

// A process that does not lead forwards the reports that it receives, each of them once.
func TestRelayForwardsQuotaReports(t *testing.T) {
	r := newTestRouter(t)
	r.quotas.handleReports([]quota.Report{{Node: "other", Sequence: 7}})
	report := r.report()
	assert.Equal(t, len(report.Quota), 1)
	assert.Equal(t, report.Quota[0].Sequence, uint64(7))
	assert.Assert(t, !report.Empty())
	assert.Equal(t, len(r.report().Quota), 0)
}

func TestTenantMetricSeriesAreBounded(t *testing.T) {
	usages := make([]quota.Usage, maxTenantSeries+20)
	for index := range usages {
		usages[index] = quota.Usage{Tenant: routing.TenantName(fmt.Sprint(index)), Refused: 1}
	}
	list := capSeries(usages)
	assert.Equal(t, len(list), maxTenantSeries+1)
	assert.Equal(t, list[maxTenantSeries].Refused, uint64(20))
}

func BenchmarkAcquire(b *testing.B) {
	clock.CountsSuspension()
	now := clock.Now()
	tenant := &routing.Tenant{Name: "a", Rate: 1e9, Burst: 1}
	q := &quotas{holder: quota.NewHolder(now, "n", 1, quota.Bound{Window: 5 * time.Second})}
	q.holder.SetTenants(map[routing.TenantName]*routing.Tenant{"a": tenant})
	q.holder.ApplyGrant(now, quota.Grant{
		Node: "n", StartTime: 1, Term: 1, Sequence: 1, Stamp: int64(time.Hour / time.Millisecond),
		Credits: map[routing.TenantName]quota.Credit{"a": {5_000_000_001, 5_000_000_001, 0}},
	})
	b.ReportAllocs()
	for b.Loop() {
		q.Acquire(context.Background(), tenant)
	}
}

// A claim passes on to the next leader the shares that the previous one did not know to be held,
// for as long as they may be in use. A lowered limit blocks the reserve.
func TestReserveClaimsBuildOnThePreviousOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store := newCutOffRouter(t)
		r.quotas.bound = quota.Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
		r.election = election.New(store, KeyPrefix, "a:1", "process", rand.Text)
		tenure, err := r.election.Campaign(t.Context(), 0)
		assert.NilError(t, err)
		leaseCtx, stop := context.WithCancel(t.Context())
		defer stop()
		go tenure.KeepAlive(leaseCtx)
		claimed := func() float64 {
			item, found, err := store.Get(t.Context(), KeyPrefix+reserveKey)
			assert.NilError(t, err)
			if !found {
				return -1
			}
			return unreportedOf(item).Sum()
		}
		claim := func() {
			c := quota.NewCoordinator(clock.Now(), 2, false, r.quotas.bound)
			c.SetTenants(clock.Now(), map[routing.TenantName]*routing.Tenant{"a": {Name: "a", Rate: 100}})
			assert.Assert(t, r.quotas.claim(t.Context(), tenure, c).claimed)
		}
		claim()
		assert.Assert(t, claimed() > 0.5 && claimed() < 0.7, "no router has reported: %v", claimed())
		claim()
		assert.Equal(t, claimed(), 1.0, "and none has reported since")
		time.Sleep(r.quotas.bound.TakeoverDelay())
		assert.Equal(t, claimed(), 1.0, "the claim outlasts what it guards")
		time.Sleep(2 * reserveMargin)
		assert.Equal(t, claimed(), -1.0)
		assert.Assert(t, r.quotas.tryBlockReserve(t.Context(), tenure))
		assert.Equal(t, claimed(), 1.0)
	})
}
