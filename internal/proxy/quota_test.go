package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
)

// fakeQuota admits as many requests as it has units.
type fakeQuota struct {
	mu                       sync.Mutex
	units                    int
	acquired, sent, released int
	// starting means that nothing was granted to this process yet.
	starting bool
}

func (q *fakeQuota) AwaitsFirstGrant() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.starting
}

func (q *fakeQuota) Acquire(context.Context, *routing.Tenant) (time.Time, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.acquired-q.released >= q.units {
		return time.Time{}, 1700 * time.Millisecond
	}
	q.acquired++
	return clock.Now(), 0
}

func (q *fakeQuota) RecordSent(time.Time, *routing.Tenant) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sent++
	return clock.Now()
}

func (q *fakeQuota) Release(time.Time, *routing.Tenant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.released++
}

func (q *fakeQuota) counts() [3]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return [3]int{q.acquired, q.sent, q.released}
}

// newQuotaProxy returns a test proxy whose tenant a has a limit, and whose worker runs a script.
func newQuotaProxy(t *testing.T, units int, run script) (*testProxy, *fakeWorker, *fakeQuota) {
	t.Helper()
	w := newFakeWorker(t, "w1", run)
	f := newTestProxy(t, w.entry("pool"))
	config := tenantsConfig(t, 2, twoTenants)
	config.Tenants["a"].Rate = 1
	quota := &fakeQuota{units: units}
	f.proxy.Quota = quota
	assert.Assert(t, f.proxy.Use(config))
	return f, w, quota
}

const requestOfA = "GET /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\nAuthorization: Bearer " + keyOfA + "\r\n\r\n"

func TestTenantBeyondItsLimitIsRefusedImmediately(t *testing.T) {
	f, w, quota := newQuotaProxy(t, 1, alwaysAnswer("x"))
	assert.Equal(t, f.sendRaw(t, requestOfA), http.StatusOK)
	request, err := http.NewRequest(http.MethodGet, f.server.URL+"/safe/", nil)
	assert.NilError(t, err)
	request.Host = "app.example"
	request.Header.Set("X-Id", "j")
	request.Header.Set("Authorization", "Bearer "+keyOfA)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusTooManyRequests)
	assert.Assert(t, !response.Close, "a request with a short body must not close the connection")
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Equal(t, after, 1.7, "the delay that the quota returned")
	assert.Equal(t, w.receivedCount(), 1)
	assert.Equal(t, quota.counts(), [3]int{1, 0, 0})
}

func TestTenantWithoutLimitIsNotCounted(t *testing.T) {
	f, _, quota := newQuotaProxy(t, 0, alwaysAnswer("x"))
	raw := "GET /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\nAuthorization: Bearer " + keyOfB + "\r\n\r\n"
	assert.Equal(t, f.sendRaw(t, raw), http.StatusOK)
	assert.Equal(t, quota.counts(), [3]int{})
}

func TestQuotaIsReleasedForRequestThatDidNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		run      script
		returned int
	}{
		"ran":             {alwaysAnswer("x"), 0},
		"workers refused": {reject, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f, _, quota := newQuotaProxy(t, 1, test.run)
			f.sendRaw(t, requestOfA)
			counts := quota.counts()
			assert.Equal(t, counts[0], 1, "a request counts once, however often it is sent")
			assert.Equal(t, counts[2], test.returned)
		})
	}
}

// A router that has just started knows of no tenant that it is over its limit, and must not say so.
func TestRefusalBeforeTheFirstGrantBlamesNoTenant(t *testing.T) {
	for name, test := range map[string]struct {
		starting bool
		status   int
		reason   string
	}{
		"before the first grant": {starting: true, status: http.StatusServiceUnavailable, reason: reasonQuotaUnknown},
		"after it":               {status: http.StatusTooManyRequests, reason: reasonOverQuota},
	} {
		t.Run(name, func(t *testing.T) {
			f, w, quota := newQuotaProxy(t, 0, alwaysAnswer("x"))
			quota.starting = test.starting
			response, body := f.get(t, "GET", "/safe/x", "", "Authorization", "Bearer "+keyOfA)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, body, test.reason+"\n")
			assert.Assert(t, response.Header.Get("Retry-After") != "")
			assert.Equal(t, w.receivedCount(), 0)
		})
	}
}
