package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/upstream"
)

// Metric labels of the notices that workers give in answers.
const (
	noticeLeaving           = "leaving"
	noticeBackoff           = "backoff"
	noticeUnreadableBackoff = "unreadable-backoff"
)

// recordNotice handles an answer's notices that its worker is leaving or requests a backoff, and
// counts headers that the router does not read.
func (c *call) recordNotice(to *backend, result *upstream.Result) {
	if result.Leaving {
		c.proxy.Metrics.recordNotice(c.service.Name, noticeLeaving)
		if c.proxy.OnWorkerLeaving != nil {
			c.proxy.OnWorkerLeaving(to.info().Incarnation())
		}
	}
	c.recordBackoff(to, result)
	c.proxy.countUnread(to.id(), result.Header)
}

// isBlocked reports whether the worker gets no requests for now, because of its rate limit or a
// backoff.
func (p *Proxy) isBlocked(now time.Time, to *backend) bool {
	return to.backoffLeft(now) > 0 || (now.Before(to.limitedUntil()) && p.isLimited(to))
}

// blockedUntil returns the time until which the worker gets no requests and the reason. They are zero
// if it is not blocked.
func (p *Proxy) blockedUntil(now time.Time, to *backend) (until time.Time, reason string) {
	if p.isLimited(to) && now.Before(to.limitedUntil()) {
		until, reason = to.limitedUntil(), reasonLimited
	}
	if backoff := now.Add(to.backoffLeft(now)); backoff.After(now) && backoff.After(until) {
		until, reason = backoff, reasonBackoff
	}
	return until, reason
}

// allBlocked returns the earliest time at which one of the service's usable workers is no longer
// blocked, and why it is blocked. They are zero unless all of the usable workers are blocked.
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

// blockedRetryAfter returns the Retry-After delay if all workers are blocked for the given time.
func (c *call) blockedRetryAfter(reason string, wait time.Duration) time.Duration {
	if reason == reasonBackoff {
		return c.backoffRetryAfter(wait)
	}
	return limitRetryAfter(wait)
}
