package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Limits enforces the rate limits that workers announce, over all routers together. It is safe for
// concurrent use.
type Limits interface {
	// LimitedCount returns the number of workers with a rate limit, and IsLimited reports whether a
	// worker has one.
	LimitedCount() int
	IsLimited(worker workers.Incarnation) bool
	// AcquirePermit requests a permit for sending a request to a worker at most maxWait from now.
	// If granted, the request may be sent after wait; if not, wait is the time after which to ask
	// again. AcquirePermit returns within timeout.
	AcquirePermit(worker workers.Incarnation, maxWait, timeout time.Duration) (wait time.Duration, granted bool)
	// RecordAnswer processes what an answer reports about its worker's rate limit.
	RecordAnswer(worker workers.Incarnation, answer *upstream.Result)
}

// permitTimeoutShare is the fraction of a request's target latency within which its permit must be
// granted.
const permitTimeoutShare = 0.25

// limitRetryJitter is the maximum random increase of the Retry-After delay, as a fraction of the
// delay. It prevents all callers from retrying at the same time.
const limitRetryJitter = 0.25

// anyLimited reports whether any worker has a rate limit.
func (p *Proxy) anyLimited() bool { return p.Limits != nil && p.Limits.LimitedCount() > 0 }

// isLimited reports whether a worker has a rate limit. It costs one atomic load while none has.
func (p *Proxy) isLimited(to *backend) bool {
	return p.anyLimited() && p.Limits.IsLimited(to.info().Incarnation())
}

// acquirePermit requests permission to send the request to a worker, which may have a rate limit,
// at most maxWait from now. If granted, the request may be sent after wait; if not, wait is the
// time after which one may be sent.
func (c *call) acquirePermit(to *backend, maxWait time.Duration) (wait time.Duration, ok bool) {
	if !c.proxy.isLimited(to) {
		return 0, true
	}
	now := clock.Now()
	if until := to.limitedUntil(); until.Sub(now) > maxWait {
		return until.Sub(now), false
	}
	timeout := min(time.Duration(permitTimeoutShare*float64(c.route.Target)), max(0, c.timeLeft()-answerMargin))
	wait, ok = c.proxy.Limits.AcquirePermit(to.info().Incarnation(), maxWait, timeout)
	if !ok {
		to.setLimitedUntil(clock.Now().Add(wait))
	}
	return wait, ok
}

// setLimitedUntil blocks the worker until the given time.
func (b *backend) setLimitedUntil(until time.Time) { b.limitUntil.Store(clock.Nanos(until)) }

// limitedUntil returns the time until which the worker is blocked if it has a rate limit.
func (b *backend) limitedUntil() time.Time { return clock.FromNanos(b.limitUntil.Load()) }

// limitRetryAfter returns the Retry-After delay of a request that a rate limit blocks for the given
// time.
func limitRetryAfter(wait time.Duration) time.Duration {
	return wait + time.Duration(limitRetryJitter*rand.Float64()*float64(wait))
}

// recordLimit processes what the result of a send reports about the worker's rate limit.
func (c *call) recordLimit(worker *workers.Worker, result *upstream.Result) {
	limits := c.proxy.Limits
	if limits == nil {
		return
	}
	if limits.LimitedCount() > 0 && limits.IsLimited(worker.Incarnation()) {
		c.proxy.Metrics.recordLimitedSend(c.service.Name)
	}
	limits.RecordAnswer(worker.Incarnation(), result)
}
