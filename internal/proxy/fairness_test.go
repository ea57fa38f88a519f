package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/fair"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// fairnessTries is the number of times that a random decision is repeated. It is large enough that
// a decision with a probability of one half occurs at least once.
const fairnessTries = 200

// sharesUpdateDelay is the time after which shares are recomputed.
const sharesUpdateDelay = time.Second

// newCall returns a request of a tenant for a service of a test proxy.
func newCall(f *testProxy, service routing.ServiceName, tenant routing.TenantName) *call {
	config := f.proxy.Config()
	c := &call{
		proxy: f.proxy, config: config, service: config.Services[service], route: config.Match("app.example", "/safe/"),
		request: httptest.NewRequest(http.MethodGet, "/", nil), writer: httptest.NewRecorder(),
		tenant: config.Tenants[tenant], began: clock.Now(), deadline: clock.Now().Add(time.Minute),
		tried: map[workers.ID]bool{}, detach: func() bool { return true },
	}
	c.state = f.proxy.fleet.service(c.service)
	c.recordDemand(f.proxy.current.Load())
	return c
}

// newFloodedProxy returns a test proxy with two tenants, of which a has sent ten times as many
// requests as b. Half of a's requests were not served.
func newFloodedProxy(t *testing.T, service routing.ServiceName, list ...workers.Worker) *testProxy {
	t.Helper()
	f := newTestProxy(t, list...)
	assert.Assert(t, f.proxy.Use(tenantsConfig(t, 2, twoTenants)))
	now := clock.Now()
	for range 10 {
		newCall(f, service, "b")
	}
	for range 50 {
		newCall(f, service, "a")
		newCall(f, service, "a").state.shares.RecordUnserved(now)
	}
	return f
}

// While the owner of a key rejects requests, those of the tenant that exceeds its share are refused
// without being sent to it, and those of the other tenant are not.
func TestRequestsForRejectingOwnerAreRefusedByTenantShare(t *testing.T) {
	f := newFloodedProxy(t, "keyed")
	now := clock.Now().Add(sharesUpdateDelay)
	reasons := map[routing.TenantName]map[string]int{"a": {}, "b": {}}
	for name, counts := range reasons {
		c := newCall(f, "keyed", name)
		for range fairnessTries {
			c.claim.owner = nil
			to := newBackend(workers.Worker{ID: "w"}, &reportedMeans{}, nil)
			for range 20 {
				to.throttle.RecordSent(now, false)
			}
			for range 8 {
				to.throttle.RecordSent(now, true)
			}
			counts[c.refusalReason(now, to)]++
		}
	}
	assert.Equal(t, reasons["b"][""], fairnessTries, "%v", reasons)
	assert.Assert(t, reasons["a"][reasonOverShare] > fairnessTries/4, "%v", reasons)
}

// An owner that has not rejected any requests for a while has capacity again, regardless of earlier
// counts.
func TestOwnerWithCapacityRefusesNoRequests(t *testing.T) {
	f := newFloodedProxy(t, "keyed")
	now := clock.Now()
	to := newBackend(workers.Worker{ID: "w"}, &reportedMeans{}, nil)
	c := newCall(f, "keyed", "a")
	for range 2 * minOwnerRequests {
		to.shares.RecordRequest(now, c.claim.caller, 1)
		to.shares.RecordUnserved(now)
	}
	for range fairnessTries {
		c.claim.owner = nil
		assert.Equal(t, c.refusalReason(now.Add(sharesUpdateDelay), to), "")
	}
}

// A request of a tenant beyond its share must not wait at a worker, where others would wait behind
// it.
func TestTenantBeyondItsShareUsesFreeWorkersOnly(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newFloodedProxy(t, "pool", w.entry("pool"))
	yields := 0
	const tries = 30 // few, since each one increases the demand of b
	for range tries {
		assert.Assert(t, !newCall(f, "pool", "b").claim.yields)
		if newCall(f, "pool", "a").claim.yields {
			yields++
		}
	}
	assert.Assert(t, yields > 0 && yields < tries, "%d", yields)
	c := newCall(f, "pool", "a")
	list, _ := f.proxy.fleet.members(clock.Now(), c.state, "pool", 1)
	for _, yields := range []bool{false, true} {
		c.claim.yields = yields
		assert.Assert(t, c.pick(clock.Now(), c.requirements(), c.tried).backend != nil, "the worker has a free slot")
	}
	for range w.entry("pool").Slots {
		list[0].backend.begin()
	}
	c.claim.yields = true
	assert.Assert(t, c.pick(clock.Now(), c.requirements(), c.tried).backend == nil)
	c.claim.yields = false
	assert.Assert(t, c.pick(clock.Now(), c.requirements(), c.tried).backend != nil)
}

func TestShareRefusalIsLoggedOnce(t *testing.T) {
	f := newFloodedProxy(t, "pool")
	var log logBuffer
	f.proxy.Log = decision.NewTo(&log, "test")
	for range 3 {
		c := newCall(f, "pool", "a")
		c.giveUp(reasonOverShare, c.jitteredRetryAfter())
		recorder := c.writer.(*httptest.ResponseRecorder)
		assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
		assert.Assert(t, recorder.Header().Get("Retry-After") != "")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Count(log.String(), `"kind":"`+string(decision.KindRequest)+`"`) < 3 {
			return poll.Continue("not all lines have been written")
		}
		return poll.Success()
	})
	assert.Equal(t, strings.Count(log.String(), `"kind":"`+string(decision.KindTenantOverShare)+`"`), 1, "%s", &log)
}

// Requests that yield leave half of the queue to others.
func TestTenantBeyondItsShareUsesHalfTheQueue(t *testing.T) {
	f := newFloodedProxy(t, "pool")
	for name, test := range map[string]struct {
		yields bool
		want   bool
	}{"yields": {true, false}, "does not": {false, true}} {
		t.Run(name, func(t *testing.T) {
			c := newCall(f, "pool", "a")
			c.service = &routing.Service{Name: "pool", Queue: 4}
			c.claim.yields = test.yields
			for range 2 {
				assert.Assert(t, c.state.enqueue(0))
				defer c.state.dequeue()
			}
			assert.Equal(t, c.waitInQueue(), test.want)
			if !test.want {
				assert.Equal(t, c.writer.(*httptest.ResponseRecorder).Code, http.StatusServiceUnavailable)
			}
		})
	}
}

// Without tenants in the configuration no demand is counted and no request yields.
func TestDemandIsNotCountedWithoutTenants(t *testing.T) {
	f := newTestProxy(t)
	c := newCall(f, "pool", "")
	c.recordUnserved(reasonBusy)
	assert.Equal(t, c.claim, claim{})
	assert.Equal(t, c.state.shares.RecentRequests(clock.Now()), 0.0)
}

func TestDefaultWeightIsMeanOfLimits(t *testing.T) {
	config := &routing.Config{Tenants: map[routing.TenantName]*routing.Tenant{"a": {Rate: 10}, "b": {Rate: 30}, "c": {}}}
	assert.Equal(t, meanTenantRate(config), 20.0)
	assert.Equal(t, meanTenantRate(&routing.Config{}), 1.0)
}

// A tenant's priority takes precedence over the route's.
func TestTenantPriorityOverridesRoutePriority(t *testing.T) {
	f := newTestProxy(t)
	config := tenantsConfig(t, 2, twoTenants)
	config.Tenants["a"].Priority = 3
	assert.Assert(t, f.proxy.Use(config))
	assert.Equal(t, newCall(f, "pool", "a").claim.caller, fair.Caller{Name: "a", Priority: 3})
}
