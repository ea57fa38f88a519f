package proxy

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// fakeLimits grants a number of permits for workers with rate limits.
type fakeLimits struct {
	mu        sync.Mutex
	limited   map[workers.ID]float64
	permits   int
	wait      time.Duration
	requested int
	answers   []upstream.Limit
}

func (l *fakeLimits) LimitedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limited)
}

func (l *fakeLimits) IsLimited(worker workers.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.limited[worker.ID]
	return limited
}

func (l *fakeLimits) AcquirePermit(workers.Incarnation, time.Duration, time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested++
	if l.permits == 0 {
		return l.wait, false
	}
	l.permits--
	return 0, true
}

func (l *fakeLimits) RecordAnswer(_ workers.Incarnation, answer *upstream.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer.Limit)
}

// permitRequests returns the number of permits that were requested.
func (l *fakeLimits) permitRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requested
}

// addPermits adds permits to be granted.
func (l *fakeLimits) addPermits(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permits += count
}

// removeAll removes all rate limits.
func (l *fakeLimits) removeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.limited)
}

// newLimitedProxy returns a test proxy with rate limits that grant no permits, and ask to wait for
// 1.5 seconds.
func newLimitedProxy(t *testing.T, limited []workers.ID, entries ...workers.Worker) (*testProxy, *fakeLimits) {
	t.Helper()
	f := newTestProxy(t, entries...)
	limits := &fakeLimits{limited: map[workers.ID]float64{}, wait: 1500 * time.Millisecond}
	for _, id := range limited {
		limits.limited[id] = 1
	}
	f.proxy.Limits = limits
	return f, limits
}

func TestRequestsBeyondWorkerLimitGoToAnotherWorker(t *testing.T) {
	limited, other := newFakeWorker(t, "w1", alwaysAnswer("x")), newFakeWorker(t, "w2", alwaysAnswer("x"))
	f, _ := newLimitedProxy(t, []workers.ID{"w1"}, limited.entry("pool"), other.entry("pool"))
	for range 10 {
		response, _ := f.get(t, "GET", "/safe/", "")
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, limited.receivedCount(), 0)
	assert.Equal(t, other.receivedCount(), 10)
}

func TestRequestsBeyondAllWorkerLimitsAreRefusedImmediately(t *testing.T) {
	for name, path := range map[string]string{"pool": "/safe/", "pool, not repeatable": "/unsafe/", "keyed": "/keyed/"} {
		t.Run(name, func(t *testing.T) {
			service := "pool"
			if name == "keyed" {
				service = "keyed"
			}
			w := newFakeWorker(t, "w1", alwaysAnswer("x"))
			f, limits := newLimitedProxy(t, []workers.ID{"w1"}, w.entry(service))
			f.assignAllKeys(w.entry(service))
			for range 5 {
				began := time.Now()
				response, body := f.get(t, "GET", path, "", "X-Key", "7")
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, body, reasonLimited+"\n")
				after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after > 1 && after < 2, "%f s", after)
				assert.Assert(t, time.Since(began) < 300*time.Millisecond, "the refusal must not wait")
			}
			assert.Equal(t, w.receivedCount(), 0)
			assert.Equal(t, limits.permitRequests(), 1, "no permit is requested while the worker is known to be limited")
		})
	}
}

func TestRemovedLimitTakesEffectImmediately(t *testing.T) {
	for name, path := range map[string]string{"pool": "/safe/", "keyed": "/keyed/"} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("x"))
			f, limits := newLimitedProxy(t, []workers.ID{"w1"}, w.entry(name))
			f.assignAllKeys(w.entry(name))
			response, _ := f.get(t, "GET", path, "", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			limits.removeAll()
			response, _ = f.get(t, "GET", path, "", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

func TestEachSendToLimitedWorkerRequestsPermit(t *testing.T) {
	for name, test := range map[string]struct {
		service, path string
		run           script
		// permits is the number of permits that are requested.
		permits int
	}{
		"pool":                         {service: "pool", path: "/safe/", run: alwaysAnswer("x"), permits: 1},
		"keyed":                        {service: "keyed", path: "/keyed/", run: alwaysAnswer("x"), permits: 1},
		"resent to another worker":     {service: "pool", path: "/unsafe/", run: rejectOnce(), permits: 2},
		"resent after it may have run": {service: "pool", path: "/safe/", run: breakOnce(), permits: 2},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newFakeWorker(t, "w1", test.run), newFakeWorker(t, "w2", test.run)
			f, limits := newLimitedProxy(t, []workers.ID{"w1", "w2"}, one.entry(test.service), two.entry(test.service))
			f.assignAllKeys(one.entry(test.service))
			limits.permits = 5
			response, _ := f.get(t, "GET", test.path, "", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, limits.permitRequests(), test.permits)
			assert.Equal(t, one.receivedCount()+two.receivedCount(), test.permits)
		})
	}
}

// breakOnce returns a script that closes the first connection without an answer, and answers from
// then on.
func breakOnce() script {
	var broken atomic.Bool
	return func(connection net.Conn, request *http.Request) bool {
		if broken.CompareAndSwap(false, true) {
			return false
		}
		answer(connection, request, http.StatusOK, "x")
		return true
	}
}

func TestLimitedWorkerReceivesNoHedge(t *testing.T) {
	var limits *fakeLimits
	slow := func(connection net.Conn, request *http.Request) bool {
		limits.addPermits(5) // permits are available when the second copy is sent
		time.Sleep(time.Second)
		answer(connection, request, http.StatusOK, "slow")
		return true
	}
	first, limited := newFakeWorker(t, "w1", slow), newFakeWorker(t, "w2", alwaysAnswer("x"))
	var f *testProxy
	f, limits = newLimitedProxy(t, []workers.ID{"w2"}, first.entry("pool"), limited.entry("pool"))
	limits.wait = time.Millisecond
	_, body := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, body, "slow")
	assert.Equal(t, limited.receivedCount(), 0)
}

func TestLimitInAnswerIsRecorded(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusOK, "x", "X-Limit: 2.5")
		return true
	})
	f, limits := newLimitedProxy(t, nil, w.entry("pool"))
	f.proxy.Headers.Limit = "X-Limit"
	response, _ := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.Header.Get("X-Limit"), "2.5", "the header is forwarded to the caller")
	assert.DeepEqual(t, limits.answers, []upstream.Limit{{Status: upstream.Limited, PerSecond: 2.5}})
}
