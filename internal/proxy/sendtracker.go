package proxy

import (
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/upstream"
)

const (
	// maxSends bounds the sends of one request, those included that its workers did not
	// run.
	maxSends = 4
	// maxUnsent bounds the tries that did not even connect.
	maxUnsent = 5
)

// allowance counts the sends of one request and says whether another may leave. A send
// counts from before it leaves: one that is under way, or was given up, may run. It is
// given back only if it surely did not run.
//
// It guards the route's limit of workers that one request may run on. Counting sends when
// they ended let requests run on 2 workers of 1 and on 3 of 2: 13 of them in the first 3 s of
// a day of 74 routers (second copies of silent requests).
type sendTracker struct {
	// attempts is how many workers the request may run on.
	maxRuns int
	// underWay have left and not ended; ran may have run; refused did not run, by their
	// workers' word; unsent found no connection that lasted,
	// or were withheld.
	inFlight, ran, notRun, unsent int
}

// take counts a send that is about to leave; false if none may.
func (a *sendTracker) begin() bool {
	if !a.maySend() {
		return false
	}
	a.inFlight++
	return true
}

// left reports whether one more send may leave.
func (a *sendTracker) maySend() bool {
	return a.inFlight+a.ran < a.maxRuns && a.mayHaveArrived() < maxSends && a.unsent < maxUnsent
}

// settle notes how a send that was taken ended.
func (a *sendTracker) finish(outcome upstream.Outcome) {
	a.inFlight--
	switch outcome {
	case upstream.NotSent, upstream.TurnedAway, upstream.Withheld:
		a.unsent++
	case upstream.NotRun, upstream.Misdirected:
		a.notRun++
	default:
		a.ran++
	}
}

// sends returns how many may have reached a worker.
func (a *sendTracker) mayHaveArrived() int { return a.inFlight + a.ran + a.notRun }

// mayHaveRun returns how many may have run.
func (a *sendTracker) mayHaveRun() int { return a.inFlight + a.ran }

// spend takes a second send from the service's budget where one is needed.
func (c *call) spendRetryBudget() bool {
	if c.sends.mayHaveArrived() == 0 {
		return true
	}
	return c.state.budget.spend(int(c.proxy.Nodes.Load()), clock.Now())
}
