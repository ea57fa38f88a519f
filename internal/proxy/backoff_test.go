package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/workers"
)

// requestsBackoff returns a script that rejects each request and requests a backoff of the given
// seconds.
func requestsBackoff(seconds string) script {
	return func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusServiceUnavailable, "", "X-Not-Run: 1", "Retry-After: "+seconds)
		return true
	}
}

// requestKinds are requests that together cover all code paths that send a request to a worker.
// service is the one that the worker must belong to.
var requestKinds = map[string]struct{ service, method, path, body string }{
	"to a pool":                 {"pool", "GET", "/safe/", ""},
	"to a pool, not repeatable": {"pool", "POST", "/unsafe/", "b"},
	"to a pool, one attempt":    {"pool", "GET", "/single/", ""},
	"for a key":                 {"keyed", "GET", "/keyed/", ""},
	"for a key, not repeatable": {"keyed", "POST", "/keyed-once/", "b"},
	"a large upload":            {"pool", "POST", "/up/", strings.Repeat("b", 300<<10)},
	"a download":                {"pool", "GET", "/down/", ""},
	"a large upload for a key":  {"keyed", "POST", "/keyed/", strings.Repeat("b", 300<<10)},
}

func TestBlockedWorkerReceivesNoRequests(t *testing.T) {
	for reason, block := range map[string]func(*testProxy, workers.Worker){
		"in a backoff": func(f *testProxy, w workers.Worker) {
			f.proxy.fleet.get(w).startBackoff(clock.Now(), 3*time.Second)
		},
		"draining for too long": func(f *testProxy, w workers.Worker) {
			f.directory.MarkLeaving(w.Incarnation(), clock.Now().Add(-testDrain))
		},
	} {
		for name, test := range requestKinds {
			t.Run(reason+"/"+name, func(t *testing.T) {
				w := newFakeWorker(t, "w1", alwaysAnswer("x"))
				f := newTestProxy(t, w.entry(test.service))
				f.assignAllKeys(w.entry(test.service))
				block(f, w.entry(test.service))
				response, _ := f.get(t, test.method, test.path, test.body, "X-Key", "7")
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, w.receivedCount(), 0)
			})
		}
		t.Run(reason+"/hedged copy", func(t *testing.T) {
			var f *testProxy
			slow := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				time.Sleep(time.Second)
				answer(connection, request, http.StatusOK, "slow")
				return true
			})
			other := newFakeWorker(t, "w2", alwaysAnswer("x"))
			f = newTestProxy(t, slow.entry("pool"), other.entry("pool"))
			block(f, other.entry("pool"))
			_, body := f.get(t, "GET", "/safe/", "")
			assert.Equal(t, body, "slow")
			assert.Equal(t, other.receivedCount(), 0)
		})
		t.Run(reason+"/a retry", func(t *testing.T) {
			var f *testProxy
			other := newFakeWorker(t, "w2", alwaysAnswer("x"))
			rejecting := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				block(f, other.entry("pool"))
				return reject(connection, request)
			})
			f = newTestProxy(t, rejecting.entry("pool"), other.entry("pool"))
			f.proxy.fleet.get(other.entry("pool")).fullUntil = clock.Now().Add(100 * time.Millisecond)
			response, _ := f.get(t, "POST", "/unsafe/", "b")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, other.receivedCount(), 0)
		})
	}
}

func TestWorkerInBackoffIsNotSentTo(t *testing.T) {
	for name, test := range map[string]struct{ service, method, path string }{
		"pool": {"pool", "GET", "/safe/"}, "pool, not repeatable": {"pool", "POST", "/unsafe/"},
		"keyed": {"keyed", "GET", "/keyed/"}, "keyed, not repeatable": {"keyed", "POST", "/keyed-once/"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", requestsBackoff("3"))
			f := newTestProxy(t, w.entry(test.service))
			f.assignAllKeys(w.entry(test.service))
			for range 5 {
				began := time.Now()
				response, body := f.get(t, test.method, test.path, "", "X-Key", "7")
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, body, reasonBackoff+"\n")
				after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after < 0.4, "another router may serve it before %f s", after)
				assert.Assert(t, time.Since(began) < 80*time.Millisecond, "the request must not wait")
			}
			assert.Equal(t, w.receivedCount(), 1)
		})
	}
}

func TestOtherWorkersServeRequestsDuringBackoff(t *testing.T) {
	inBackoff, other := newFakeWorker(t, "w1", requestsBackoff("3")), newFakeWorker(t, "w2", alwaysAnswer("x"))
	f := newTestProxy(t, inBackoff.entry("pool"), other.entry("pool"))
	for range 20 {
		response, _ := f.get(t, "POST", "/unsafe/", "")
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Assert(t, inBackoff.receivedCount() <= 1)
}

func TestPoolSkipsWorkersInBackoff(t *testing.T) {
	inBackoff, other := newFakeWorker(t, "w1", alwaysAnswer("x")), newFakeWorker(t, "w2", alwaysAnswer("x"))
	f := newTestProxy(t, inBackoff.entry("pool"), other.entry("pool"))
	f.proxy.fleet.get(inBackoff.entry("pool")).startBackoff(clock.Now(), 3*time.Second)
	service := f.proxy.Config().Services["pool"]
	for range 50 {
		picked := f.proxy.fleet.pick(clock.Now(), f.proxy.fleet.service(service), service, requirements{target: time.Second}, nil, 1)
		assert.Equal(t, picked.backend.id(), other.entry("pool").ID)
	}
}

func TestWorkerReceivesRequestsAfterBackoff(t *testing.T) {
	for name, path := range map[string]string{"pool": "/safe/", "keyed": "/keyed/"} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("x"))
			f := newTestProxy(t, w.entry(name))
			f.assignAllKeys(w.entry(name))
			f.proxy.fleet.get(w.entry(name)).startBackoff(clock.Now(), 200*time.Millisecond)
			response, _ := f.get(t, "GET", path, "", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			time.Sleep(220 * time.Millisecond)
			response, _ = f.get(t, "GET", path, "", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

func TestBackoffEndsAtLatestRequestedTime(t *testing.T) {
	now := clock.Now()
	b := &backend{}
	extension, started := b.startBackoff(now, 3*time.Second)
	assert.Assert(t, extension == 3*time.Second && started)
	extension, started = b.startBackoff(now.Add(time.Second), time.Second)
	assert.Assert(t, extension == 0 && !started, "a shorter backoff does not replace a longer one")
	assert.Equal(t, b.backoffLeft(now.Add(time.Second)), 2*time.Second)
	extension, started = b.startBackoff(now.Add(2*time.Second), 3*time.Second)
	assert.Assert(t, extension == 2*time.Second && !started)
	assert.Equal(t, b.backoffLeft(now.Add(5*time.Second)), time.Duration(0))
	_, started = b.startBackoff(now.Add(6*time.Second), time.Second)
	assert.Assert(t, started)
}

func TestRestartedWorkerHasNoBackoff(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	first, second := w.entry("pool"), w.entry("pool")
	first.StartTime, second.StartTime = 1, 2
	f := newTestProxy(t, first)
	f.proxy.fleet.get(first).startBackoff(clock.Now(), 3*time.Second)
	assert.Assert(t, f.proxy.fleet.get(first).backoffLeft(clock.Now()) > 0)
	assert.Equal(t, f.proxy.fleet.get(second).backoffLeft(clock.Now()), time.Duration(0))
}

// Guards against waiting for a key to move while the leader can't store the move.
func TestRequestForUnassignableKeyIsRefusedImmediately(t *testing.T) {
	for name, test := range map[string]struct {
		blocked bool
		waited  time.Duration
		after   string
	}{
		"store is unreachable": {blocked: true, after: "1.000"},
		"key may still move":   {waited: 80 * time.Millisecond, after: "0.200"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("x"))
			f := newTestProxy(t, w.entry("keyed"))
			f.assignAllKeys(w.entry("keyed"))
			f.proxy.KeyMovesBlocked = func() bool { return test.blocked }
			f.directory.MarkLeaving(w.entry("keyed").Incarnation(), clock.Now().Add(-testDrain))
			began := time.Now()
			response, body := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			took := time.Since(began)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, body, reasonOwnerGone+"\n")
			assert.Equal(t, response.Header.Get("Retry-After"), test.after)
			assert.Assert(t, took >= test.waited && took < test.waited+60*time.Millisecond, "%s", took)
		})
	}
}

// After any sequence of requested backoffs the remaining time is that until the latest requested
// end, and the reported extensions add up to the whole backoff. Meter counts them, so that an
// overlap must not be reported twice.
func TestBackoffEndsAtLatestTimeForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, end, reported := &backend{}, clock.Now(), clock.Now(), time.Duration(0)
		begun := now
		for range rapid.IntRange(1, 8).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "later")) * time.Millisecond)
			requested := time.Duration(rapid.IntRange(0, 4000).Draw(t, "asked")) * time.Millisecond
			if now.After(end) {
				begun, reported = now, 0
			}
			extension, _ := b.startBackoff(now, requested)
			reported += extension
			if until := now.Add(requested); until.After(end) {
				end = until
			}
			if left := b.backoffLeft(now); (left - max(0, end.Sub(now))).Abs() > time.Microsecond {
				t.Fatalf("remaining backoff is %s, want %s", left, end.Sub(now))
			}
		}
		if covered := max(0, end.Sub(begun)); (reported - covered).Abs() > time.Microsecond {
			t.Fatalf("reported extensions add up to %s, want %s", reported, covered)
		}
	})
}
