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

// What a process has learned of the first life was held against the second: it rested after the
// failures of the first, was taken to have ended, and as fast and as loaded as the first had been.
func TestRestartedWorkerStartsWithFreshState(t *testing.T) {
	now := time.Now()
	f := newFleet("z", workers.NewDirectory(), BudgetLimits{})
	first := workers.Worker{ID: "w", Service: "s", Address: "127.0.0.1:1", Slots: 2, Born: 1}
	before := f.get(first)
	before.begin()
	before.finish(now, &upstream.Result{Outcome: upstream.Misdirected})
	before.recordFailure(now)
	assert.Assert(t, !before.usable(now))
	assert.Assert(t, f.get(first) == before)

	second := first
	second.Born, second.Address = 2, "127.0.0.1:2"
	after := f.get(second)
	assert.Assert(t, after.usable(now))
	assert.Equal(t, after.pool.Address(), second.Address)
	assert.Equal(t, after.inFlight, 0)
	_, measured := after.meanLatency(defaultLatency)
	assert.Assert(t, !measured)

	byAddress := second
	byAddress.Born = 0 // an owner of keys that is not announced
	assert.Assert(t, f.get(byAddress) == after)
	assert.Assert(t, f.get(second) == after)
}

// A cold worker's part of requests is counted from a random point in each of its spells; the spell
// of the second life was taken to go on from that of the first, with what was saved up then.
func TestRestartedWorkerWarmsUpFromItsOwnStart(t *testing.T) {
	now := time.Now()
	f := newFleet("z", workers.NewDirectory(), BudgetLimits{})
	first := workers.Worker{ID: "w", Service: "s", Slots: 2, Born: 1, WarmAt: now.Add(3 * time.Second)}
	f.get(first).admit(now, 4, 1)
	now = now.Add(2 * time.Second)
	assert.Assert(t, f.get(first).admit(now, 4, 1), "saved up")
	second := first
	second.Born, second.WarmAt = 2, now.Add(3*time.Second)
	admitted := 0
	for range 400 {
		second.Born++
		if f.get(second).admit(now, 4, 1) {
			admitted++
		}
	}
	assert.Equal(t, admitted, 0, "none begins with a whole request")
}

// A worker that crashed and came back at once, under its ID and address, answered the look at its
// address: the request that had crashed it went on to others.
func TestImmediateRestartCountsAsCrash(t *testing.T) {
	for name, test := range map[string]struct {
		state   workers.State
		again   workers.Born
		left    bool
		crashed int
	}{
		"a crash":                     {state: workers.StateReady, again: 2, crashed: 1},
		"the same life":               {state: workers.StateReady, again: 1},
		"no life is told":             {state: workers.StateReady},
		"the first life was draining": {state: workers.StateDraining, again: 2},
		"the first life's entry went": {state: workers.StateReady, again: 2, left: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", func(net.Conn, *http.Request) bool { return false })
			entry := w.entry("keyed")
			entry.Born = 1
			f := newTestProxy(t, entry)
			f.assignAllKeys(entry)
			logged := &lines{}
			f.proxy.Log = decision.NewTo(logged, "test")
			f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			entry.State = test.state
			f.directory.Update([]workers.Worker{entry}, nil, nil)
			if test.left {
				f.directory.Update(nil, []workers.ID{entry.ID}, nil)
			}
			entry.State, entry.Born = workers.StateReady, test.again
			f.directory.Update([]workers.Worker{entry}, nil, nil)
			f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			f.proxy.Log.Close()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if logged.count(decision.KindWorkerCrashed) == test.crashed {
					return poll.Success()
				}
				return poll.Continue("%s", logged.text.String())
			}, poll.WithTimeout(2*time.Second))
			assert.Equal(t, logged.count(decision.KindSuspect) > 0, test.crashed > 0)
		})
	}
}

// A request that may run once and was sent to the first life is not sent to the second.
func TestRequestSentBeforeRestartIsNotResent(t *testing.T) {
	w := newFakeWorker(t, "w1", func(net.Conn, *http.Request) bool { return false })
	entry := w.entry("pool")
	entry.Born = 1
	f := newTestProxy(t, entry)
	go func() {
		time.Sleep(20 * time.Millisecond)
		entry.Born = 2
		f.directory.Update([]workers.Worker{entry}, nil, nil)
	}()
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Assert(t, response.StatusCode != http.StatusServiceUnavailable, "it may have run")
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.received), 1)
}
