package proxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/quarantine"
)

// testPermits lets one attempt of each request run at a time, or answers with a fixed permit.
type testPermits struct {
	mu    sync.Mutex
	gate  *quarantine.Gate
	fixed *SuspectPermit
	// after is what the last release said.
	after time.Duration
}

func (p *testPermits) Acquire(request quarantine.Fingerprint, holder string, run time.Duration) SuspectPermit {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fixed != nil {
		return *p.fixed
	}
	wait, granted := p.gate.Acquire(clock.Now(), request, holder, run)
	return SuspectPermit{Granted: granted, Wait: min(wait, 5*time.Millisecond)}
}

func (p *testPermits) Release(request quarantine.Fingerprint, holder string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.after = after
	p.gate.Release(clock.Now(), request, holder, after)
}

// Guards against a fault: attempts of a request that had crashed a worker ran side by side, at several
// routers, and crashed the next worker ten at a time. The first that succeeds lets all others run.
func TestSuspectRunsOneAtATime(t *testing.T) {
	for name, test := range map[string]struct {
		suspected bool
		path      string
		most      int32
	}{
		"a suspect of a pool":          {suspected: true, path: "/safe/x", most: 1},
		"a suspect that may run once":  {suspected: true, path: "/unsafe/x", most: 1},
		"a request that is no suspect": {path: "/safe/x", most: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var running, most atomic.Int32
			handle := func(connection net.Conn, request *http.Request) bool {
				now := running.Add(1)
				most.Store(max(most.Load(), now))
				time.Sleep(100 * time.Millisecond)
				running.Add(-1)
				answer(connection, request, http.StatusInternalServerError, "x") // does not clear the request
				return true
			}
			one, two := newFakeWorker(t, "w1", handle), newFakeWorker(t, "w2", handle)
			f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
			f.proxy.SuspectPermits = &testPermits{gate: quarantine.NewGate()}
			if test.suspected {
				f.recordCrashes(expectedAttempt("GET", test.path, ""), "a")
			}
			var requests sync.WaitGroup
			for range 2 {
				request := f.request(t, "GET", test.path, "", "X-Id", "same")
				requests.Go(func() {
					response, err := http.DefaultClient.Do(request)
					assert.Check(t, err)
					_ = response.Body.Close()
				})
			}
			requests.Wait()
			assert.Equal(t, most.Load(), test.most)
		})
	}
}

func TestAnswersToSuspectsWithoutPermit(t *testing.T) {
	for name, test := range map[string]struct {
		permit     SuspectPermit
		reason     string
		retryAfter bool
	}{
		"another attempt runs":      {permit: SuspectPermit{Wait: 50 * time.Millisecond}, reason: reasonSuspected, retryAfter: true},
		"the leader quarantined it": {permit: SuspectPermit{Quarantined: true}, reason: reasonQuarantined},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("x"))
			f := newTestProxy(t, w.entry("pool"))
			f.proxy.SuspectPermits = &testPermits{fixed: &test.permit}
			f.recordCrashes(expectedAttempt("GET", "/safe/x", ""), "a")
			began := time.Now()
			response, body := f.get(t, "GET", "/safe/x", "")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, body, test.reason+"\n")
			assert.Equal(t, response.Header.Get("Retry-After") != "", test.retryAfter)
			assert.Equal(t, w.receivedCount(), 0)
			assert.Assert(t, time.Since(began) < time.Second, "it is refused before its deadline")
		})
	}
}

// Another attempt must not run until it is known whether the first has crashed its worker.
func TestPermitIsHeldUntilACrashWouldBeKnown(t *testing.T) {
	for name, test := range map[string]struct {
		handle script
		after  time.Duration
	}{
		"answered":    {handle: alwaysAnswer("x")},
		"interrupted": {handle: reset, after: crashDetectionTime},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", test.handle)
			f := newTestProxy(t, w.entry("pool"))
			permits := &testPermits{gate: quarantine.NewGate(), after: -1}
			f.proxy.SuspectPermits = permits
			f.recordCrashes(expectedAttempt("POST", "/unsafe/x", "b"), "a")
			f.get(t, "POST", "/unsafe/x", "b")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				permits.mu.Lock()
				defer permits.mu.Unlock()
				if permits.after < 0 {
					return poll.Continue("not released")
				}
				return poll.Success()
			})
			assert.Equal(t, permits.after, test.after)
		})
	}
}
