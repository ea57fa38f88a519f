package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Guards against applying the state of a worker's previous incarnation to the restarted worker: its
// cooldown after failures, its end, its latency and its load.
func TestRestartedWorkerStartsWithFreshState(t *testing.T) {
	now := time.Now()
	f := newFleet("z", workers.NewDirectory(), BudgetLimits{})
	first := workers.Worker{ID: "w", Service: "s", Address: "127.0.0.1:1", Slots: 2, StartTime: 1}
	before := f.get(first)
	before.begin()
	before.finish(now, &upstream.Result{Outcome: upstream.Misdirected})
	before.recordFailure(now)
	assert.Assert(t, !before.usable(now))
	assert.Assert(t, f.get(first) == before)

	second := first
	second.StartTime, second.Address = 2, "127.0.0.1:2"
	after := f.get(second)
	assert.Assert(t, after.usable(now))
	assert.Equal(t, after.pool.Address(), second.Address)
	assert.Equal(t, after.inFlight, 0)
	_, measured := after.meanLatency(defaultLatency)
	assert.Assert(t, !measured)

	byAddress := second
	byAddress.StartTime = 0 // an owner of keys that is known only by its address
	assert.Assert(t, f.get(byAddress) == after)
	assert.Assert(t, f.get(second) == after)
}

// A router that knew a worker only by the address in the table of owners, where it had been before a restart,
// went on sending to that address once the worker was announced at another one.
func TestAnnouncedAddressReplacesThatOfTable(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t)
	former, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	entry := w.entry("keyed")
	entry.Address = former.Addr().String()
	assert.NilError(t, former.Close())
	f.assignAllKeys(entry)
	response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7", "X-Deadline", "100")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)

	entry = w.entry("keyed")
	entry.StartTime = 2
	f.directory.Replace([]workers.Worker{entry}, nil, time.Now())
	response, body := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusOK, body)
}

// The share of requests to a cold worker is counted from a random point in each warm-up period. Guards
// against continuing the warm-up of the previous incarnation, with the tokens saved up in it.
func TestRestartedWorkerWarmsUpFromItsOwnStart(t *testing.T) {
	now := time.Now()
	f := newFleet("z", workers.NewDirectory(), BudgetLimits{})
	first := workers.Worker{ID: "w", Service: "s", Slots: 2, StartTime: 1, WarmAt: now.Add(3 * time.Second)}
	f.get(first).admit(now, 4, 1)
	now = now.Add(2 * time.Second)
	assert.Assert(t, f.get(first).admit(now, 4, 1), "saved up")
	second := first
	second.StartTime, second.WarmAt = 2, now.Add(3*time.Second)
	admitted := 0
	for range 400 {
		second.StartTime++
		if f.get(second).admit(now, 4, 1) {
			admitted++
		}
	}
	assert.Equal(t, admitted, 0, "no warm-up starts with a whole token")
}

// A worker that crashed and immediately restarted with the same ID and address answers the probe of
// its address. Guards against missing the crash, after which the request that caused it is sent to
// other workers.
func TestImmediateRestartCountsAsCrash(t *testing.T) {
	for name, test := range map[string]struct {
		state     workers.State
		startTime workers.StartTime
		removed   bool
		crashed   int
	}{
		"new incarnation":                   {state: workers.StateReady, startTime: 2, crashed: 1},
		"same incarnation":                  {state: workers.StateReady, startTime: 1},
		"no incarnation announced":          {state: workers.StateReady},
		"previous incarnation was draining": {state: workers.StateDraining, startTime: 2},
		"previous entry was removed":        {state: workers.StateReady, startTime: 2, removed: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", func(net.Conn, *http.Request) bool { return false })
			entry := w.entry("keyed")
			entry.StartTime = 1
			f := newTestProxy(t, entry)
			f.assignAllKeys(entry)
			logged := &logCounter{}
			f.proxy.Log = decision.NewTo(logged, "test")
			f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			entry.State = test.state
			f.directory.Update([]workers.Worker{entry}, nil, nil)
			if test.removed {
				f.directory.Update(nil, []workers.ID{entry.ID}, nil)
			}
			entry.State, entry.StartTime = workers.StateReady, test.startTime
			f.directory.Update([]workers.Worker{entry}, nil, nil)
			f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			f.proxy.Log.Close()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if logged.count(decision.KindWorkerCrashed) == test.crashed {
					return poll.Success()
				}
				return poll.Continue("%s", logged.text.String())
			}, poll.WithTimeout(2*time.Second))
			assert.Equal(t, logged.count(decision.KindRequestSuspected) > 0, test.crashed > 0)
		})
	}
}

// A request that is not repeatable and was sent to the previous incarnation is not resent to the new
// one.
func TestRequestSentBeforeRestartIsNotResent(t *testing.T) {
	w := newFakeWorker(t, "w1", func(net.Conn, *http.Request) bool { return false })
	entry := w.entry("pool")
	entry.StartTime = 1
	f := newTestProxy(t, entry)
	go func() {
		time.Sleep(20 * time.Millisecond)
		entry.StartTime = 2
		f.directory.Update([]workers.Worker{entry}, nil, nil)
	}()
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Assert(t, response.StatusCode != http.StatusServiceUnavailable, "it may have run")
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.received), 1)
}
