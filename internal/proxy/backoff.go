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
func (b *backend) backOff(now time.Time, asked time.Duration) (longer time.Duration, begins bool) {
	if asked == 0 {
		return 0, false
	}
	until := now.Add(asked)
	for {
		before := b.backoffUntil.Load()
		known := clock.OfNanos(before)
		if !until.After(known) {
			return 0, false
		}
		if !b.backoffUntil.CompareAndSwap(before, clock.Nanos(until)) {
			continue
		}
		if known.Before(now) {
			return asked, true
		}
		return until.Sub(known), false
	}
}

// backoffLeft returns for how much longer the worker is to get nothing from this process; zero if it
// may get requests.
func (b *backend) backoffLeft(now time.Time) time.Duration {
	return max(0, clock.OfNanos(b.backoffUntil.Load()).Sub(now))
}

// watchBackoff learns from the end of a send whether its worker asks for a backoff.
func (c *call) watchBackoff(to *backend, got *upstream.Result) {
	switch got.Backoff.Asking {
	case upstream.BackoffAsked:
		c.proxy.Metrics.noticed(c.service.Name, noticeBackoff)
		longer, begins := to.backOff(clock.Now(), got.Backoff.For)
		if c.service.Keyed && longer > 0 {
			c.proxy.Meter.CountBackoff(to.id(), longer)
		}
		if begins {
			c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
				Float64("for", got.Backoff.For.Seconds()).Msg("")
		}
	case upstream.UnreadableBackoff:
		c.proxy.Metrics.noticed(c.service.Name, noticeUnreadableBackoff)
		c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
			Strs("unreadable", got.Header.Values("Retry-After")).Msg("")
	}
}

// returnElsewhere is when a caller may come back whose request this process may not send for some time:
// soon, since another one may, and the key may move.
func (c *call) returnElsewhere(wait time.Duration) time.Duration { return min(wait, c.returnAfter()) }

// admits reports whether a worker that was chosen for the request may still get it: since then it may
// have asked for a backoff, or have been leaving for too long.
func (c *call) admits(to *backend) bool {
	return to.backoffLeft(clock.Now()) == 0 && c.drainedFor(to.id()) <= c.leavingGrace()
}
