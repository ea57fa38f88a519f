package experiment

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/balance"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/retry"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// firstPause and lastPause bound the pause before the next try.
	firstPause = 4 * time.Millisecond
	lastPause  = 64 * time.Millisecond
	// maxHold bounds the wait of a call without a deadline.
	maxHold = 10 * time.Second
)

// begin takes a call from its caller.
func (g *gateway) begin(c *call) {
	s := g.services[c.service]
	c.pause = firstPause
	s.budget.FirstTry(s.bundle.Limits.RetryRatio)
	if c.deadline > 0 {
		c.limit = g.world.After(c.deadline, func() { s.expire(c) })
	}
	s.reserve(c)
}

// reserve sends the call, or lets it wait for a server, or refuses it.
func (s *service) reserve(c *call) {
	if c.done {
		return
	}
	made := s.choose(c)
	c.waitsFor, c.why = made.waitsFor, made.why
	switch {
	case made.found:
		s.send(c, made)
	case made.refused != "":
		s.end(c, notRun(made.refused))
	default:
		s.wait(c, made)
	}
}

func (s *service) wait(c *call, made choice) {
	if reason := s.mayWait(c, made); reason != "" {
		s.end(c, notRun(reason))
		return
	}
	s.waiting = append(s.waiting, c)
	if c.deadline == 0 {
		s.gateway.world.After(maxHold, func() { s.giveUp(c) })
	}
}

// giveUp ends a call that still waits.
func (s *service) giveUp(c *call) {
	if i := slices.Index(s.waiting, c); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.end(c, notRun(c.why))
	}
}

// send makes one try.
func (s *service) send(c *call, made choice) {
	g := s.gateway
	target := g.world.byName[made.server]
	tried := &attempt{call: c, service: s, server: target, entry: made.entry, began: s.now(), first: c.tries == 0}
	c.open = append(c.open, tried)
	c.tries++
	cost := newConnectionCost
	if g.idle[target.name] > 0 {
		g.idle[target.name]--
		cost = 0
	}
	g.world.send(g.zone, target.zone, cost, func() { target.receive(tried) })
	if c.deadline == 0 {
		g.world.After(brokenAfter, func() { s.noticeLoss(tried) })
	}
	if c.hedgeAfter > 0 && c.tries == 1 && c.repeatable && !c.keyed {
		c.hedge = g.world.After(c.hedgeAfter, func() { s.hedge(c, made.server) })
	}
}

// hedge starts a second try beside the first, if another back end has room and
// the budget allows it.
func (s *service) hedge(c *call, first bundle.ServerName) {
	if c.done || len(c.open) != 1 {
		return
	}
	c.avoid = first
	made := s.choose(c)
	if !made.found {
		return
	}
	if !s.mayRetry() {
		s.pool.Done(s.now(), made.server, balance.ResultNeutral, 0)
		return
	}
	s.gateway.world.measures.hedged()
	s.send(c, made)
}

func (s *service) mayRetry() bool {
	return !s.gateway.world.variant.mechanisms.retryBudget || s.budget.Spend()
}

// noticeLoss breaks the connection of a try at a machine that is gone.
func (s *service) noticeLoss(tried *attempt) {
	if tried.closed {
		return
	}
	gone := !tried.server.alive || tried.run != 0 && tried.run != tried.server.starts
	if !gone {
		s.gateway.world.After(brokenAfter, func() { s.noticeLoss(tried) })
		return
	}
	s.close(tried, balance.ResultUnreachable, 0)
	s.fail(tried, retry.Attempt{BytesSent: true, Reason: wire.ReasonAnswerLost})
}

// answered takes a server's answer; a reason says that it did not run.
func (s *service) answered(tried *attempt, reason wire.Reason) {
	if tried.closed || s.lost {
		return
	}
	s.gateway.idle[tried.server.name]++
	if reason != "" {
		s.close(tried, refusedResult(reason), 0)
		s.fail(tried, retry.Attempt{BytesSent: true, ServerNotRun: true, Reason: reason})
		s.dispatch()
		return
	}
	latency := s.now() - tried.began
	s.occupancy.Add(latency)
	s.close(tried, balance.ResultAnswered, latency)
	s.overtake(tried.call)
	s.end(tried.call, ending{})
	s.dispatch()
}

// overtake ends a first try that a second one has overtaken: it counts against
// its back end, which may be frozen.
func (s *service) overtake(c *call) {
	if len(c.open) == 1 && c.open[0].first {
		s.abandon(c.open[0], balance.ResultOvertaken)
	}
}

func refusedResult(reason wire.Reason) balance.Result {
	if reason == wire.ReasonOverloaded || reason == wire.ReasonDraining {
		return balance.ResultRefused
	}
	return balance.ResultNeutral
}

// close gives the slot of a try back.
func (s *service) close(tried *attempt, result balance.Result, latency time.Duration) {
	tried.closed = true
	c := tried.call
	c.open = slices.DeleteFunc(c.open, func(other *attempt) bool { return other == tried })
	s.pool.Done(s.now(), tried.server.name, result, latency)
}

// abandon gives up a try that is under way, and tells the server.
func (s *service) abandon(tried *attempt, result balance.Result) {
	s.close(tried, result, 0)
	g := s.gateway
	g.world.send(g.zone, tried.server.zone, 0, func() { tried.server.cancel(tried) })
}

// fail decides what follows a try without an answer.
func (s *service) fail(tried *attempt, failure retry.Attempt) {
	c := tried.call
	decision := retry.Decide(failure, c.repeatable, true)
	if decision.Outcome == wire.OutcomeUnknown {
		c.mayHaveRun = true
	}
	if c.done || len(c.open) > 0 {
		return // the other try goes on
	}
	last := ending{outcome: decision.Outcome, reason: failure.Reason}
	if !decision.Again || !s.again(c, decision) {
		if decision.Again {
			last.reason = wire.ReasonRetriesSpent
		}
		s.end(c, last)
		return
	}
	c.avoid = tried.server.name
	s.pauseBeforeNext(c, decision.AwaitTable)
}

func (s *service) again(c *call, decision retry.Decision) bool {
	if s.gateway.ring != nil {
		return c.tries <= staticRetries
	}
	return !decision.Budgeted || s.mayRetry()
}

func (s *service) pauseBeforeNext(c *call, awaitTable bool) {
	if !c.keyed && !awaitTable && c.tries == 1 {
		s.reserve(c)
		return
	}
	c.why = wire.ReasonOverloaded
	c.resume = s.gateway.world.After(c.pause, func() { s.reserve(c) })
	c.pause = min(2*c.pause, lastPause)
}

// expire ends a call whose deadline has passed.
func (s *service) expire(c *call) {
	if c.done {
		return
	}
	if i := slices.Index(s.waiting, c); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	if len(c.open) == 0 {
		s.end(c, notRun(c.why))
		return
	}
	for len(c.open) > 0 {
		s.abandon(c.open[0], balance.ResultTimeout)
	}
	s.end(c, unknown(wire.ReasonDeadline))
	s.dispatch()
}

// end answers the caller and gives up what is still under way.
func (s *service) end(c *call, how ending) {
	c.done = true
	c.limit.Stop()
	c.hedge.Stop()
	c.resume.Stop()
	for len(c.open) > 0 {
		s.abandon(c.open[0], balance.ResultNeutral)
	}
	s.gateway.world.measures.ended(c, c.final(how))
}
