package proxy

import (
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/upstream"
)

// What answers say of their workers, as metrics name it.
const (
	noticeLeaving           = "leaving"
	noticeBackoff           = "backoff"
	noticeUnreadableBackoff = "unreadable-backoff"
)

// watchNotice learns from the end of a send whether its worker leaves, or asks for a backoff.
func (c *call) watchNotice(to *backend, got *upstream.Result) {
	if got.Leaving {
		c.proxy.Metrics.noticed(c.service.Name, noticeLeaving)
		if c.proxy.Leaving != nil {
			c.proxy.Leaving(to.described().Life())
		}
	}
	switch got.Backoff.Asking {
	case upstream.BackoffAsked:
		c.proxy.Metrics.noticed(c.service.Name, noticeBackoff)
		c.tellBackoff(to, got)
	case upstream.UnreadableBackoff:
		c.proxy.Metrics.noticed(c.service.Name, noticeUnreadableBackoff)
		c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
			Strs("unreadable", got.Header.Values("Retry-After")).Msg("")
	}
}

// tellBackoff writes a line where a worker begins to ask for a backoff.
func (c *call) tellBackoff(to *backend, got *upstream.Result) {
	now := clock.Now()
	until := clock.Nanos(now.Add(got.Backoff.For))
	if before := to.backoffUntil.Swap(until); before > clock.Nanos(now) {
		return
	}
	c.proxy.Log.Line(decision.KindWorkerBackoff).Str("worker", string(to.id())).Str("id", c.message.ID).
		Float64("for", got.Backoff.For.Seconds()).Msg("")
}
