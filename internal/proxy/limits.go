package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Limits keep workers within the limits that they name, over all routers together. They are safe
// for concurrent use.
type Limits interface {
	// Count returns how many workers name a limit, and Limited reports whether one does.
	Count() int
	Limited(worker workers.Incarnation) bool
	// Take asks whether a request may leave for a worker within some patience: it then leaves after
	// wait. If it may not, wait is when to ask again. The answer comes within a time.
	Take(worker workers.Incarnation, patience, within time.Duration) (wait time.Duration, granted bool)
	// Answered takes what an answer says of its worker's limit.
	Answered(worker workers.Incarnation, answer *upstream.Result)
}

// permitTimeoutShare is the share of a request's target within which its permit must come.
const permitTimeoutShare = 0.25

// limitRetryJitter is by which part of the time at most callers come back later than their requests may
// leave, so that not all are back at once.
const limitRetryJitter = 0.25

// anyLimited reports whether any worker names a limit.
func (p *Proxy) anyLimited() bool { return p.Limits != nil && p.Limits.Count() > 0 }

// isLimited reports whether a worker names a limit. While none does it costs one load.
func (p *Proxy) isLimited(to *backend) bool {
	return p.anyLimited() && p.Limits.Limited(to.info().Incarnation())
}

// permitted asks whether the request may leave for a worker that may name a limit, within some
// patience: it then leaves after wait. If it may not, wait is after which time one may.
func (c *call) acquirePermit(to *backend, patience time.Duration) (wait time.Duration, ok bool) {
	if !c.proxy.isLimited(to) {
		return 0, true
	}
	now := clock.Now()
	if until := to.limitedUntil(); until.Sub(now) > patience {
		return until.Sub(now), false
	}
	within := min(time.Duration(permitTimeoutShare*float64(c.route.Target)), max(0, c.timeLeft()-answerMargin))
	wait, ok = c.proxy.Limits.Take(to.info().Incarnation(), patience, within)
	if !ok {
		to.setLimitedUntil(clock.Now().Add(wait))
	}
	return wait, ok
}

// limit keeps requests away from the worker until a time.
func (b *backend) setLimitedUntil(until time.Time) { b.limitUntil.Store(clock.Nanos(until)) }

// limitedUntil returns until when requests are kept away from the worker if it names a limit.
func (b *backend) limitedUntil() time.Time { return clock.FromNanos(b.limitUntil.Load()) }

// limitRetryAfter is when a caller may come back whose request a limit keeps away for some time.
func limitRetryAfter(wait time.Duration) time.Duration {
	return wait + time.Duration(limitRetryJitter*rand.Float64()*float64(wait))
}

// watchLimit learns from the end of a send whether its worker names a limit.
func (c *call) recordLimit(worker *workers.Worker, got *upstream.Result) {
	limits := c.proxy.Limits
	if limits == nil {
		return
	}
	if limits.Count() > 0 && limits.Limited(worker.Incarnation()) {
		c.proxy.Metrics.recordLimitedSend(c.service.Name)
	}
	limits.Answered(worker.Incarnation(), got)
}
