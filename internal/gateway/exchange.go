package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/retry"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// maxHold bounds the wait for a back end of a request without a deadline.
	maxHold = 10 * time.Second
	// firstPause and lastPause bound the pause before the next try; it doubles.
	firstPause = 4 * time.Millisecond
	lastPause  = 64 * time.Millisecond
)

// progress is what a call has gone through so far.
type progress struct {
	tries int
	// mayHaveRun says that some try may have run, so that no later refusal may
	// say that the request did not run.
	mayHaveRun bool
	// last is what the last try would have ended with.
	last  *refusal
	pause time.Duration
	avoid bundle.ServerName
}

// exchange sends the call until a server answers, or refuses it. Each try goes
// out only if retry.Decide allows it after the one before.
func (g *Gateway) exchange(ctx context.Context, c *call) (*reply, *refusal) {
	holding, stopHolding := holdContext(ctx, c)
	defer stopHolding()
	c.service.firstTry(c.route.service.Limits.RetryRatio)
	state := &progress{pause: firstPause}
	for {
		to, refused := g.reserve(holding, c, state)
		if refused != nil {
			return nil, state.finalRefusal(ctx, refused)
		}
		state.tries++
		got := g.attempt(ctx, c, to, state)
		if got.response != nil {
			return got, nil
		}
		if refused := g.afterFailure(holding, c, got, state); refused != nil {
			return nil, state.finalRefusal(ctx, refused)
		}
	}
}

// holdContext bounds the waiting of a call without a deadline.
func holdContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if c.limit > 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, maxHold)
}

// reserve waits for a target. The deadline is checked again after the wait: a
// request is never sent once its time is over.
func (g *Gateway) reserve(ctx context.Context, c *call, state *progress) (target, *refusal) {
	if ctx.Err() != nil {
		return target{}, notRun(wire.ReasonDeadline)
	}
	choose := g.chooserOf(c, state.avoid)
	to, refused := c.service.acquire(ctx, choose, c.route.service.Limits.Queue, c.timeLeft())
	if refused != nil {
		return target{}, refused
	}
	to.left = c.left(g.clock.Now().Upper)
	if ctx.Err() != nil || to.left < 0 {
		c.service.putBack(to.server.Name)
		return target{}, notRun(wire.ReasonDeadline)
	}
	return to, nil
}

// attempt makes one try under an id of its own, or two that race.
func (g *Gateway) attempt(ctx context.Context, c *call, to target, state *progress) *reply {
	if c.mayHedge() {
		return g.hedged(ctx, c, to, state)
	}
	return g.send(ctx, c, to, tryID(c, state))
}

func formatTry(number int) string {
	return strconv.Itoa(number)
}

// afterFailure returns why the call ends, or nil after the pause that the next
// try needs.
func (g *Gateway) afterFailure(ctx context.Context, c *call, got *reply, state *progress) *refusal {
	decision := retry.Decide(got.failure, c.repeatable(), c.body.replayable())
	if decision.Outcome == wire.OutcomeUnknown {
		state.mayHaveRun = true
	}
	ended := endOf(got.failure, decision)
	state.last = ended
	if !decision.Again || ctx.Err() != nil {
		return ended
	}
	if decision.Budgeted && !c.service.spend() {
		return retriesSpent(ended)
	}
	g.metrics.Retries.WithLabelValues(string(got.failure.Reason)).Inc()
	state.avoid = got.server.Name
	g.pauseBeforeNext(ctx, c, decision.AwaitTable, state)
	return nil
}

// endOf is the refusal that a failed try leads to if nothing follows it.
func endOf(failure retry.Attempt, decision retry.Decision) *refusal {
	if decision.Outcome == wire.OutcomeNotRun && failure.Reason == wire.ReasonAnswerLost {
		return notRun(wire.ReasonNoBackend) // nothing was sent, so no answer was lost
	}
	if decision.Outcome == wire.OutcomeNotRun {
		return notRun(failure.Reason)
	}
	if failure.Reason == wire.ReasonDeadline {
		return unknown(http.StatusGatewayTimeout, failure.Reason)
	}
	return unknown(http.StatusBadGateway, failure.Reason)
}

// retriesSpent keeps what is known of the last try.
func retriesSpent(ended *refusal) *refusal {
	if ended.outcome == wire.OutcomeNotRun {
		return notRun(wire.ReasonRetriesSpent)
	}
	return unknown(ended.status, wire.ReasonRetriesSpent)
}

// finalRefusal never says "not run" after a try that may have run.
func (p *progress) finalRefusal(ctx context.Context, last *refusal) *refusal {
	if last.reason == wire.ReasonDeadline && p.last != nil {
		last = p.last // tells more than that time was over
	}
	if !p.mayHaveRun || last.outcome == wire.OutcomeUnknown {
		return last
	}
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), errDeadline) {
		status = http.StatusGatewayTimeout
	}
	return unknown(status, last.reason)
}

// pauseBeforeNext waits a little, less if the table changes meanwhile. A pool
// has other back ends to go to, so that only a table behind needs the pause.
func (g *Gateway) pauseBeforeNext(ctx context.Context, c *call, awaitTable bool, state *progress) {
	if c.route.service.Kind == bundle.KindPool && !awaitTable && state.tries == 1 {
		return
	}
	_, changed := g.tables.current()
	timer := time.NewTimer(state.pause)
	defer timer.Stop()
	state.pause = min(2*state.pause, lastPause)
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}
