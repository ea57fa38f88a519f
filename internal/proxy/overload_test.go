package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rejects refuses requests and tells a load, but runs each so many-th.
func rejects(load string, runs int32) script {
	var count atomic.Int32
	return func(connection net.Conn, request *http.Request) bool {
		if runs > 0 && count.Add(1)%runs == 0 {
			answer(connection, request, http.StatusOK, "x", "X-Load: "+load)
			return true
		}
		answer(connection, request, http.StatusServiceUnavailable, "", "X-Not-Run: 1", "X-Load: "+load)
		return true
	}
}

// An owner of keys that turns requests away although it has slots to spare may take the next one:
// callers lose each request that is refused without asking it. One that is full takes none, and
// each request that it is asked for costs it work and the caller time.
func TestRejectingOwnersAreThrottledByLoad(t *testing.T) {
	const requests = 120
	for name, test := range map[string]struct {
		run script
		// most are refused without asking, and at least so many are served.
		mostUnasked, leastServed int
		leastUnasked             int
	}{
		"idle, takes a third": {run: rejects("0,0,4", 3), leastServed: requests / 3},
		"full, takes none":    {run: rejects("4,8,4", 0), mostUnasked: requests, leastUnasked: requests / 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", test.run)
			f := newTestProxy(t, w.entry("keyed"))
			f.assignAllKeys(w.entry("keyed"))
			f.proxy.SetLimits(BudgetLimits{}) // no second sends
			served := 0
			for range requests {
				response, _ := f.get(t, "POST", "/keyed-once/", "x", "X-Key", "7")
				if response.StatusCode == http.StatusOK {
					served++
				}
			}
			unasked := max(0, requests-w.receivedCount())
			assert.Assert(t, unasked <= test.mostUnasked && unasked >= test.leastUnasked, "%d refused unasked", unasked)
			assert.Assert(t, served >= test.leastServed, "%d served", served)
		})
	}
}

// Callers come back when they are told, up to twice. From an owner that turns two of three requests
// away while it has slots to spare, what they wait for in all leaves them the time for their work;
// from one that is full they stay away longer.
func TestRetryAfterIsShortWhenOwnerHasCapacity(t *testing.T) {
	const callers, tries = 30, 3
	for name, test := range map[string]struct {
		run    script
		served int
		// most and least are what one caller is told to wait for in all.
		least, most time.Duration
	}{
		"idle, takes a third": {run: rejects("0,0,4", 3), served: callers, most: 2 * minRetryAfter},
		"full, takes none":    {run: rejects("4,8,4", 0), least: tries * 100 * time.Millisecond, most: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", test.run)
			f := newTestProxy(t, w.entry("keyed"))
			f.assignAllKeys(w.entry("keyed"))
			f.proxy.SetLimits(BudgetLimits{}) // no second sends
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
				assert.Assert(t, waits >= test.least && waits <= test.most, "told to wait for %v", waits)
			}
			assert.Equal(t, served, test.served)
		})
	}
}
