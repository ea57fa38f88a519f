package proxy

import (
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/upstream"
)

const (
	// maxSends is the maximum number of sends of one request, including those that workers rejected
	// without running the request.
	maxSends = 4
	// maxUnsent is the maximum number of attempts in which nothing was sent.
	maxUnsent = 5
)

// sendTracker counts the sends of one request and reports whether another is permitted. A send is
// counted before it starts, since one that is in flight or was canceled may run. It is uncounted only
// if it certainly did not run.
//
// It enforces the route's limit on the number of workers that one request may run on. Counting sends
// only on completion let hedged requests exceed that limit, on 2 workers instead of 1 and on 3
// instead of 2: 13 requests did so within the first 3 s of a run with 74 routers.
type sendTracker struct {
	// maxRuns is the maximum number of workers that the request may run on.
	maxRuns int
	// inFlight sends have not completed; ran sends may have run; notRun sends were reported by their
	// workers as not run; unsent attempts found no usable connection or were withheld.
	inFlight, ran, notRun, unsent int
}

// begin counts a send that is about to start. It returns false if none is permitted.
func (t *sendTracker) begin() bool {
	if !t.maySend() {
		return false
	}
	t.inFlight++
	return true
}

// maySend reports whether one more send is permitted.
func (t *sendTracker) maySend() bool {
	return t.inFlight+t.ran < t.maxRuns && t.mayHaveArrived() < maxSends && t.unsent < maxUnsent
}

// finish records the outcome of a send that begin has counted.
func (t *sendTracker) finish(outcome upstream.Outcome) {
	t.inFlight--
	switch outcome {
	case upstream.NotSent, upstream.ConnectionRejected, upstream.Withheld:
		t.unsent++
	case upstream.NotRun, upstream.Misdirected:
		t.notRun++
	default:
		t.ran++
	}
}

// mayHaveArrived returns how many sends may have reached a worker.
func (t *sendTracker) mayHaveArrived() int { return t.inFlight + t.ran + t.notRun }

// mayHaveRun returns how many sends may have run.
func (t *sendTracker) mayHaveRun() int { return t.inFlight + t.ran }

// spendRetryBudget charges the service's retry budget if an earlier send of the request may have
// reached a worker. It returns false if the budget is used up.
func (c *call) spendRetryBudget() bool {
	if c.sends.mayHaveArrived() == 0 {
		return true
	}
	return c.state.budget.spend(int(c.proxy.Nodes.Load()), clock.Now())
}
