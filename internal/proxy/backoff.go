package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/upstream"
)

// backOff keeps this process's requests away from the worker for as long as it asks for. The latest end
// of all that it has asked for counts. It returns by how much longer that is than was known, and whether
// none was under way.
func (b *backend) startBackoff(now time.Time, requested time.Duration) (extension time.Duration, started bool) {
	if requested == 0 {
		return 0, false
	}
	until := now.Add(requested)
	for {
		before := b.backoffUntil.Load()
		currentEnd := clock.OfNanos(before)
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

// backoffLeft returns for how much longer the worker is to get nothing from this process; zero if it
// may get requests.
func (b *backend) backoffLeft(now time.Time) time.Duration {
	return max(0, clock.OfNanos(b.backoffUntil.Load()).Sub(now))
}

// watchBackoff learns from the end of a send whether its worker asks for a backoff.
func (c *call) recordBackoff(to *backend, result *upstream.Result) {
	switch result.Backoff.Asking {
	case upstream.BackoffAsked:
		c.proxy.Metrics.noticed(c.service.Name, noticeBackoff)
		extension, started := to.startBackoff(clock.Now(), result.Backoff.For)
		if c.service.Keyed && extension > 0 {
			c.proxy.Meter.CountBackoff(to.id(), extension)
		}
		if started {
			c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
				Float64("for", result.Backoff.For.Seconds()).Msg("")
		}
	case upstream.UnreadableBackoff:
		c.proxy.Metrics.noticed(c.service.Name, noticeUnreadableBackoff)
		c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
			Strs("unreadable", result.Header.Values("Retry-After")).Msg("")
	}
}

// returnElsewhere is when a caller may come back whose request this process may not send for some time:
// soon, since another one may, and the key may move.
func (c *call) backoffRetryAfter(wait time.Duration) time.Duration {
	return min(wait, c.jitteredRetryAfter())
}

// admits reports whether a worker that was chosen for the request may still get it: since then it may
// have asked for a backoff, or have been leaving for too long.
func (c *call) admits(to *backend) bool {
	return to.backoffLeft(clock.Now()) == 0 && c.drainedFor(to.id()) <= c.leavingGrace()
}
