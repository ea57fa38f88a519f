package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/upstream"
)

// startBackoff stops this process from sending requests to the worker for the requested time. Of
// several backoffs the one that ends last applies. It returns by how much this extends the known
// backoff, and whether it starts a new one.
func (b *backend) startBackoff(now time.Time, requested time.Duration) (extension time.Duration, started bool) {
	if requested == 0 {
		return 0, false
	}
	until := now.Add(requested)
	for {
		before := b.backoffUntil.Load()
		currentEnd := clock.FromNanos(before)
		if !until.After(currentEnd) {
			return 0, false
		}
		if !b.backoffUntil.CompareAndSwap(before, clock.Nanos(until)) {
			continue
		}
		if currentEnd.Before(now) {
			return requested, true
		}
		return until.Sub(currentEnd), false
	}
}

// backoffLeft returns the remaining time of the worker's backoff, or zero if there is none.
func (b *backend) backoffLeft(now time.Time) time.Duration {
	return max(0, clock.FromNanos(b.backoffUntil.Load()).Sub(now))
}

// recordBackoff starts a backoff, or logs that it can't be parsed, if the answer requests one.
func (c *call) recordBackoff(to *backend, result *upstream.Result) {
	switch result.Backoff.Status {
	case upstream.BackoffRequested:
		c.proxy.Metrics.recordNotice(c.service.Name, noticeBackoff)
		extension, started := to.startBackoff(clock.Now(), result.Backoff.Duration)
		if c.service.Keyed && extension > 0 {
			c.proxy.Meter.CountBackoff(to.id(), extension)
		}
		if started {
			c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
				Float64("for", result.Backoff.Duration.Seconds()).Msg("")
		}
	case upstream.UnreadableBackoff:
		c.proxy.Metrics.recordNotice(c.service.Name, noticeUnreadableBackoff)
		c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
			Strs("unreadable", result.Header.Values("Retry-After")).Msg("")
	}
}

// backoffRetryAfter returns the Retry-After delay during a worker's backoff. It is bounded by
// jitteredRetryAfter, since another router may be able to send the request, and the key may move.
func (c *call) backoffRetryAfter(wait time.Duration) time.Duration {
	return min(wait, c.jitteredRetryAfter())
}

// admits reports whether the worker chosen for the request may still get it. In the meantime it may
// have requested a backoff, or have been draining for too long.
func (c *call) admits(to *backend) bool {
	return c.endsInTime() && to.backoffLeft(clock.Now()) == 0 && c.drainedFor(to.id()) <= c.leavingGrace()
}
