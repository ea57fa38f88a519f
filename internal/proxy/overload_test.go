package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rejects returns a script that rejects requests and reports a load, but runs every runEvery-th
// request.
func rejectWithLoad(load string, runEvery int32) script {
	var count atomic.Int32
	return func(connection net.Conn, request *http.Request) bool {
		if runEvery > 0 && count.Add(1)%runEvery == 0 {
			answer(connection, request, http.StatusOK, "x", "X-Load: "+load)
			return true
		}
		answer(connection, request, http.StatusServiceUnavailable, "", "X-Not-Run: 1", "X-Load: "+load)
		return true
	}
}

// An owner of keys that rejects requests although it has free slots may accept the next one, so that
// requests that the router refuses without sending are lost needlessly. A full owner accepts none, and
// each request sent to it costs the owner work and the caller time.
func TestRejectingOwnersAreThrottledByLoad(t *testing.T) {
	const requests = 120
	for name, test := range map[string]struct {
		run script
		// maxThrottled and minThrottled bound how many requests are refused without being sent.
		maxThrottled, minServed int
		minThrottled            int
	}{
		"idle, takes a third": {run: rejectWithLoad("0,0,4", 3), minServed: requests / 3},
		"full, takes none":    {run: rejectWithLoad("4,8,4", 0), maxThrottled: requests, minThrottled: requests / 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", test.run)
			f := newTestProxy(t, w.entry("keyed"))
			f.assignAllKeys(w.entry("keyed"))
			f.proxy.SetLimits(BudgetLimits{}) // no resends
			served := 0
			for range requests {
				response, _ := f.get(t, "POST", "/keyed-once/", "x", "X-Key", "7")
				if response.StatusCode == http.StatusOK {
					served++
				}
			}
			throttled := max(0, requests-w.receivedCount())
			assert.Assert(t, throttled <= test.maxThrottled && throttled >= test.minThrottled, "%d throttled", throttled)
			assert.Assert(t, served >= test.minServed, "%d served", served)
		})
	}
}

// Callers retry up to twice after the Retry-After delay. If the owner rejects two of three requests
// despite free slots, the delays together must leave them enough time for their requests. If the owner
// is full, the delays are longer.
func TestRetryAfterIsShortWhenOwnerHasCapacity(t *testing.T) {
	const callers, tries = 30, 3
	for name, test := range map[string]struct {
		run    script
		served int
		// minTotal and maxTotal bound the sum of one caller's Retry-After delays.
		minTotal, maxTotal time.Duration
	}{
		"idle, takes a third": {run: rejectWithLoad("0,0,4", 3), served: callers, maxTotal: 2 * minRetryAfter},
		"full, takes none":    {run: rejectWithLoad("4,8,4", 0), minTotal: tries * 100 * time.Millisecond, maxTotal: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", test.run)
			f := newTestProxy(t, w.entry("keyed"))
			f.assignAllKeys(w.entry("keyed"))
			f.proxy.SetLimits(BudgetLimits{}) // no resends
			served := 0
			for range callers {
				var waits time.Duration
				for range tries {
					response, _ := f.get(t, "POST", "/keyed-once/", "x", "X-Key", "7")
					if response.StatusCode == http.StatusOK {
						served++
						break
					}
					wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
					assert.NilError(t, err)
					waits += wait
				}
				assert.Assert(t, waits >= test.minTotal && waits <= test.maxTotal, "the delays add up to %v", waits)
			}
			assert.Equal(t, served, test.served)
		})
	}
}
