package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/upstream"
)

// What answers say of their workers, as metrics name it.
const (
	noticeLeaving           = "leaving"
	noticeBackoff           = "backoff"
	noticeUnreadableBackoff = "unreadable-backoff"
)

// watchNotice learns from the end of a send whether its worker leaves, or asks for a backoff.
func (c *call) recordNotice(to *backend, result *upstream.Result) {
	if result.Leaving {
		c.proxy.Metrics.noticed(c.service.Name, noticeLeaving)
		if c.proxy.Leaving != nil {
			c.proxy.Leaving(to.info().Life())
		}
	}
	c.recordBackoff(to, result)
	c.proxy.countUnread(to.id(), result.Header)
}

// isKeptAway reports whether a worker gets no more for now, since it names a limit or has asked for a
// backoff.
func (p *Proxy) isBlocked(now time.Time, to *backend) bool {
	return to.backoffLeft(now) > 0 || (now.Before(to.limitedUntil()) && p.isLimited(to))
}

// keptAwayUntil returns until when a worker gets no more; zero if it may get some.
func (p *Proxy) blockedUntil(now time.Time, to *backend) (until time.Time, reason string) {
	if p.isLimited(to) && now.Before(to.limitedUntil()) {
		until, reason = to.limitedUntil(), reasonLimited
	}
	if backoff := now.Add(to.backoffLeft(now)); backoff.After(now) && backoff.After(until) {
		until, reason = backoff, reasonBackoff
	}
	return until, reason
}

// allKeptAway reports whether all workers that a request might be sent to get no more for now, and by
// what the first that may get some again is kept away, until when.
func (c *call) allBlocked(now time.Time) (until time.Time, reason string) {
	list, _ := c.proxy.fleet.members(now, c.state, c.service.Name, int(c.proxy.Nodes.Load()))
	for _, one := range list {
		if !one.backend.usable(now) {
			continue
		}
		blockedUntil, cause := c.proxy.blockedUntil(now, one.backend)
		if cause == "" {
			return time.Time{}, ""
		}
		if reason == "" || blockedUntil.Before(until) {
			until, reason = blockedUntil, cause
		}
	}
	return until, reason
}

// returnWhenNotKept is when a caller may come back that no worker takes for some time.
func (c *call) blockedRetryAfter(reason string, wait time.Duration) time.Duration {
	if reason == reasonBackoff {
		return c.backoffRetryAfter(wait)
	}
	return returnWhenLet(wait)
}
