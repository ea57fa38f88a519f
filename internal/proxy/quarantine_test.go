package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// expectedAttempt returns the attempt that the proxy derives from a request sent from this machine.
func expectedAttempt(method, uri, body string) quarantine.Attempt {
	request := quarantine.Request{
		Method: method, Host: "app.example", URI: uri, Body: []byte(body), Length: int64(len(body)),
	}
	return quarantine.Attempt{Request: request.Fingerprint(), Caller: callerAddress("127.0.0.1:1")}
}

// recordCrashes records that a request was in progress at workers that crashed.
func (f *testProxy) recordCrashes(attempt quarantine.Attempt, list ...workers.ID) {
	for index, worker := range list {
		at := time.Now().Add(time.Duration(3*(index-len(list))) * time.Second)
		f.proxy.Suspects.RecordCrash(time.Now(), attempt, quarantine.Crash{Worker: worker, At: at})
	}
}

func TestQuarantinedRequestIsRefusedImmediately(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/keyed/x"} {
		t.Run(path, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("x"))
			entry := w.entry("pool")
			f := newTestProxy(t, entry)
			f.assignAllKeys(entry)
			f.recordCrashes(expectedAttempt("POST", path, "b"), "a", "b", "c")
			began := time.Now()
			response, body := f.get(t, "POST", path, "b", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, response.Header.Get("Retry-After"), "", "it would be refused again")
			assert.Equal(t, body, reasonQuarantined+"\n")
			assert.Equal(t, w.receivedCount(), 0)
			assert.Assert(t, time.Since(began) < time.Second)
			response, _ = f.get(t, "POST", path+"?other", "b", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusOK, "another request")
		})
	}
}

// A process that does not know yet which requests are quarantined sends none.
func TestStartingRouterSendsNothingBeforeQuarantineIsKnown(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	f.proxy.Starting.Store(true)
	response, _ := f.get(t, "GET", "/safe/x", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, w.receivedCount(), 0)
	f.proxy.Starting.Store(false)
	response, _ = f.get(t, "GET", "/safe/x", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

func TestSuspectIsSentToOneWorkerOnly(t *testing.T) {
	tests := map[string]struct {
		crashes []workers.ID
		path    string
		want    int
	}{
		"no crashes":              {path: "/safe/x", want: 2},
		"one crash":               {path: "/safe/x", crashes: []workers.ID{"a"}, want: 1},
		"one crash, another path": {path: "/safe/y", crashes: []workers.ID{"a"}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, two := newFakeWorker(t, "w1", reset), newFakeWorker(t, "w2", reset)
			f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
			f.recordCrashes(expectedAttempt("GET", test.path, ""), test.crashes...)
			response, _ := f.get(t, "GET", test.path, "")
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			assert.Equal(t, one.receivedCount()+two.receivedCount(), test.want)
		})
	}
}

func TestSuccessfulRunClearsSuspect(t *testing.T) {
	tests := map[string]struct {
		status int
		want   quarantine.Standing
	}{
		"success":          {status: http.StatusOK, want: quarantine.Unsuspected},
		"caller's mistake": {status: http.StatusNotFound, want: quarantine.Unsuspected},
		"worker's failure": {status: http.StatusInternalServerError, want: quarantine.Suspect},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				answer(connection, request, test.status, "x")
				return true
			})
			f := newTestProxy(t, w.entry("pool"))
			attempt := expectedAttempt("GET", "/safe/x", "")
			f.recordCrashes(attempt, "a")
			f.get(t, "GET", "/safe/x", "")
			assert.Equal(t, f.proxy.Suspects.Standing(quarantine.CallerRequest{Request: attempt.Request, Caller: attempt.Caller}), test.want)
		})
	}
}

// A request that timed out may still run, and crash its worker. The next send then finds no process
// at the worker's address.
func TestTimedOutRequestCanBecomeSuspect(t *testing.T) {
	var w *fakeWorker
	w = newFakeWorker(t, "w1", func(net.Conn, *http.Request) bool {
		time.Sleep(400 * time.Millisecond)
		_ = w.listener.Close()
		return false
	})
	entry := w.entry("keyed")
	f := newTestProxy(t, entry)
	f.assignAllKeys(entry)
	response, _ := f.get(t, "GET", "/keyed/x", "", "X-Key", "7", "X-Deadline", "200")
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.get(t, "GET", "/keyed/other", "", "X-Key", "7", "X-Deadline", "200")
		if f.proxy.Suspects.Standing(quarantine.CallerRequest{Request: expectedAttempt("GET", "/keyed/x", "").Request}) == quarantine.Suspect {
			return poll.Success()
		}
		return poll.Continue("not suspected")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
}

// BenchmarkStanding measures the cost for a request that is not suspected: 0.4 µs without suspects,
// nearly all of it the benchmark's own overhead, and 0.9 µs with 100 suspects, because of the
// fingerprint.
func BenchmarkStanding(b *testing.B) {
	for name, suspects := range map[string]int{"none": 0, "100": 100} {
		b.Run(name, func(b *testing.B) {
			p := New("z", workers.NewDirectory(), BudgetLimits{})
			for index := range suspects {
				one := quarantine.Attempt{Request: quarantine.Fingerprint{byte(index)}}
				p.Suspects.RecordCrash(time.Now(), one, quarantine.Crash{Worker: "w", At: time.Now()})
			}
			for b.Loop() {
				c := &call{proxy: p, request: &http.Request{RemoteAddr: "10.0.0.1:1234"}}
				c.message = upstream.Message{Method: "GET", URI: "/some/path?page=3", Host: "app.example"}
				if c.standing() != quarantine.Unsuspected {
					b.Fatal("suspected")
				}
			}
		})
	}
}
