package proxy

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// logCounter stores a proxy's log and counts its lines by kind. It is safe for concurrent use.
type logCounter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logCounter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logCounter) count(kind decision.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), `"kind":"`+string(kind)+`"`)
}

// crashWorker returns a script that ends the worker when it runs a request: from then on no process
// listens at its address.
func crashWorker(of **fakeWorker) script {
	return func(net.Conn, *http.Request) bool {
		_ = (*of).listener.Close()
		return false
	}
}

// A crash is distinguished from other events that close a connection with a request in progress.
func TestOnlyCrashesCreateSuspects(t *testing.T) {
	tests := map[string]struct {
		run     func(of **fakeWorker) script
		state   workers.State
		crashed int
	}{
		"crash":                        {run: crashWorker, state: workers.StateReady, crashed: 1},
		"answer lost":                  {run: func(**fakeWorker) script { return reset }, state: workers.StateReady},
		"refused for lack of capacity": {run: func(**fakeWorker) script { return reject }, state: workers.StateReady},
		"end of a draining worker":     {run: crashWorker, state: workers.StateDraining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w *fakeWorker
			w = newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				return test.run(&w)(connection, request)
			})
			entry := w.entry("keyed")
			f := newTestProxy(t, entry)
			entry.State = test.state
			f.directory.Update([]workers.Worker{entry}, nil, nil)
			f.assignAllKeys(entry)
			logged := &logCounter{}
			f.proxy.Log = decision.NewTo(logged, "test")
			f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			assert.Assert(t, w.receivedCount() > 0, "the request was not sent")
			if test.crashed == 0 {
				time.Sleep(2 * probeTimeout / 3)
				assert.Equal(t, logged.count(decision.KindWorkerCrashed), 0)
				assert.Equal(t, logged.count(decision.KindRequestSuspected), 0)
				return
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if logged.count(decision.KindWorkerCrashed) == 1 && logged.count(decision.KindRequestSuspected) == 1 {
					return poll.Success()
				}
				return poll.Continue("no crash logged")
			}, poll.WithTimeout(10*time.Second))
		})
	}
}

// The probe of a worker's address may happen after the worker's entry has been removed: probes are
// rate-limited, and delayed further on a machine with too little processor time. If the crash is
// missed then, one more worker is sent the request that crashes workers.
func TestCrashIsDetectedAfterEntryRemoval(t *testing.T) {
	var w *fakeWorker
	w = newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		if w.receivedCount() == 1 {
			return reset(connection, request) // the next probe is delayed by probeInterval
		}
		return crashWorker(&w)(connection, request)
	})
	entry := w.entry("keyed")
	f := newTestProxy(t, entry)
	f.assignAllKeys(entry)
	logged := &logCounter{}
	f.proxy.Log = decision.NewTo(logged, "test")
	for w.receivedCount() < 2 {
		f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	}
	f.directory.Update(nil, []workers.ID{entry.ID}, nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if logged.count(decision.KindWorkerCrashed) == 1 && logged.count(decision.KindRequestSuspected) == 1 {
			return poll.Success()
		}
		return poll.Continue("no crash logged")
	}, poll.WithTimeout(5*time.Second))
}

// The state that a worker had when it closed the connection counts only if its current entry does
// not show another state.
func TestCrashClassificationAfterEntryChange(t *testing.T) {
	ready := workers.Worker{ID: "w1", Service: "keyed", Address: "127.0.0.1:1", State: workers.StateReady, StartTime: 1}
	draining, again := ready, ready
	draining.State = workers.StateDraining
	again.StartTime = 2
	for name, test := range map[string]struct {
		then    []workers.Worker
		gone    bool
		served  bool
		crashed bool
	}{
		"still ready":              {served: true, crashed: true},
		"gone":                     {gone: true, served: true, crashed: true},
		"removed before the close": {gone: true},
		"draining since":           {then: []workers.Worker{draining}, served: true},
		"restarted after ready":    {then: []workers.Worker{again}, served: true, crashed: true},
		"draining, then restarted": {then: []workers.Worker{draining, again}, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestProxy(t, ready)
			to := f.proxy.fleet.get(ready)
			for _, entry := range test.then {
				f.directory.Update([]workers.Worker{entry}, nil, nil)
			}
			if test.gone {
				f.directory.Update(nil, []workers.ID{ready.ID}, nil)
			}
			f.proxy.workerEnded(to, test.served)
			_, first := to.recordEnd(time.Now())
			assert.Equal(t, !first, test.crashed)
		})
	}
}

// A send that a crash cut off may end only after the worker's entry has been removed.
func TestLateSendToCrashedWorkerIsSuspectAfterEntryRemoval(t *testing.T) {
	entry := workers.Worker{ID: "w1", Service: "keyed", Address: "127.0.0.1:1", State: workers.StateReady}
	f := newTestProxy(t, entry)
	logged := &logCounter{}
	f.proxy.Log = decision.NewTo(logged, "test")
	to := f.proxy.fleet.get(entry)
	f.proxy.workerEnded(to, false)
	f.directory.Update(nil, []workers.ID{entry.ID}, nil)
	c := &call{proxy: f.proxy, request: httptest.NewRequest("GET", "/keyed/", nil), route: &routing.Route{Name: "keyed"}}
	c.recordWorkerEnd(to, &upstream.Result{Outcome: upstream.TimedOut, Written: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if logged.count(decision.KindRequestSuspected) > 0 {
			return poll.Success()
		}
		return poll.Continue("not suspected")
	}, poll.WithTimeout(5*time.Second))
}

// A worker that closes many connections is probed at most once per probeInterval.
func TestProbesAreRateLimited(t *testing.T) {
	b := newBackend(workers.Worker{}, &reportedMeans{}, nil)
	began := time.Unix(1000, 0)
	tests := []struct {
		after, wait time.Duration
		due         bool
	}{
		{after: 0, due: true},
		{after: 10 * time.Millisecond, wait: probeInterval - 10*time.Millisecond, due: true},
		{after: 20 * time.Millisecond},
		{after: probeInterval + time.Millisecond, wait: probeInterval - time.Millisecond, due: true},
		{after: 3 * probeInterval, due: true},
	}
	for _, test := range tests {
		wait, due := b.scheduleProbe(began.Add(test.after))
		assert.Equal(t, due, test.due, "%s", test.after)
		assert.Equal(t, wait, test.wait, "%s", test.after)
	}
}

// A probe of a worker's address reads nothing, so that bytes without end that the worker sends are not kept.
func TestProbeReadsNothing(t *testing.T) {
	const sent = 64 << 20
	written := make(chan int, 1)
	address := startRawListener(t, func(connection net.Conn) {
		total := 0
		for total < sent {
			count, err := connection.Write(make([]byte, 64<<10))
			total += count
			if err != nil {
				break
			}
		}
		written <- total
	})
	f := newTestProxy(t, workers.Worker{ID: "w1", Service: "pool", Address: address, Zone: "z", Slots: 4, State: workers.StateReady})
	list, _ := f.directory.Usable("pool")
	f.proxy.probe(f.proxy.fleet.get(list[0]), true)
	const socketBuffers = 16 << 20
	assert.Assert(t, <-written <= socketBuffers)
}
