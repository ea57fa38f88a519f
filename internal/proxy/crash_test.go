package proxy

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/workers"
)

// lines keeps what a proxy logs. It is safe for concurrent use.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lines) count(kind decision.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), `"kind":"`+string(kind)+`"`)
}

// crashes ends the worker that runs a request: nobody listens at its address from then on.
func crashes(of **worker) script {
	return func(net.Conn, *http.Request) bool {
		_ = (*of).listener.Close()
		return false
	}
}

// A crash is told from all else that ends a connection with a request under way.
func TestOnlyACrashMakesSuspects(t *testing.T) {
	tests := map[string]struct {
		run     func(of **worker) script
		state   workers.State
		crashed int
	}{
		"crash":                       {run: crashes, state: workers.StateReady, crashed: 1},
		"answer lost":                 {run: func(**worker) script { return reset }, state: workers.StateReady},
		"refused for want of room":    {run: func(**worker) script { return refuses }, state: workers.StateReady},
		"end of one that was leaving": {run: crashes, state: workers.StateDraining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w *worker
			w = newWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				return test.run(&w)(connection, request)
			})
			entry := w.entry("keyed")
			f := newFront(t, entry)
			entry.State = test.state
			f.directory.Update([]workers.Worker{entry}, nil, nil)
			f.owns(entry)
			logged := &lines{}
			f.proxy.Log = decision.NewTo(logged, "test")
			f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			assert.Assert(t, w.arrivals() > 0, "it was sent")
			if test.crashed == 0 {
				time.Sleep(2 * probeTimeout / 3)
				assert.Equal(t, logged.count(decision.KindWorkerCrashed), 0)
				assert.Equal(t, logged.count(decision.KindSuspect), 0)
				return
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if logged.count(decision.KindWorkerCrashed) == 1 && logged.count(decision.KindSuspect) == 1 {
					return poll.Success()
				}
				return poll.Continue("no crash")
			}, poll.WithTimeout(10*time.Second))
		})
	}
}

// A worker that closes many connections is looked at now and then only.
func TestProbesAreFew(t *testing.T) {
	b := newBackend(workers.Worker{}, &toldMeans{})
	began := time.Unix(1000, 0)
	tests := []struct {
		after, wait time.Duration
		due         bool
	}{
		{after: 0, due: true},
		{after: 10 * time.Millisecond, wait: probePause - 10*time.Millisecond, due: true},
		{after: 20 * time.Millisecond},
		{after: probePause + time.Millisecond, wait: probePause - time.Millisecond, due: true},
		{after: 3 * probePause, due: true},
	}
	for _, test := range tests {
		wait, due := b.nextProbe(began.Add(test.after))
		assert.Equal(t, due, test.due, "%s", test.after)
		assert.Equal(t, wait, test.wait, "%s", test.after)
	}
}
