package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/fair"
	"github.com/shalefork/shalefork/internal/routing"
)

// minOwnerRequests is of how many requests one worker's own counts say more than those of the service:
// of fewer, chance decides who seems to ask for much.
const minOwnerRequests = 10

// claim is what a request counts for where workers are short. Its zero value is that of a
// configuration without tenants, under which nothing is counted.
type claim struct {
	caller fair.Caller
	weight float64
	// yields says that the request takes a free worker only, and waits for one: its tenant
	// asks for more than its part.
	yields bool
	// owner is the worker of the request's key, where it has counted the request.
	owner *backend
}

// meanTenantRate returns the weight of tenants without a limit: the mean of the others.
func meanTenantRate(config *routing.Config) float64 {
	total, count := 0.0, 0
	for _, one := range config.Tenants {
		if one.Limited() {
			total += one.Rate
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return total / float64(count)
}

// demand counts the request for its tenant, if the configuration has any.
func (c *call) recordDemand(used *activeConfig) {
	if used.keys == nil {
		return
	}
	c.claim.weight = used.defaultWeight
	c.claim.caller.Priority = routing.Priority(c.route, c.tenant)
	if c.tenant != nil {
		c.claim.caller.Name = string(c.tenant.Name)
		if c.tenant.Limited() {
			c.claim.weight = c.tenant.Rate
		}
	}
	shares := &c.state.shares
	if shares.RecordRequest(c.began, c.claim.caller, c.claim.weight) {
		c.logShareChange(false, shares.RefusalShares(c.began, c.claim.caller))
	}
	if !c.service.Keyed {
		c.claim.yields = rand.Float64() < shares.YieldShare(c.began, c.claim.caller)
	}
}

// turnedBack returns why a request is refused without asking its owner, which turns others
// away; empty: it is not.
func (c *call) refusalReason(now time.Time, to *backend) string {
	if c.claim.weight == 0 {
		if to.throttled(now, rand.Float64()) {
			return reasonBusy
		}
		return ""
	}
	share, short := to.refusalShare(now)
	if !short {
		return ""
	}
	if c.claim.owner != to {
		c.claim.owner = to
		to.shares.RecordRequest(now, c.claim.caller, c.claim.weight)
	}
	judged := to.shares.RefusalShares(now, c.claim.caller)
	if judged.All > 0 && to.shares.RecentRequests(now) >= minOwnerRequests {
		share = max(share, judged.All)
	} else {
		judged = c.state.shares.RefusalShares(now, c.claim.caller)
	}
	if rand.Float64() >= judged.Scaled(share) {
		return ""
	}
	to.recordThrottled(now)
	if judged.Own > judged.All {
		return reasonOverShare
	}
	return reasonBusy
}

// countLost counts a request that there was no room for.
func (c *call) recordUnserved(reason string) {
	if c.claim.weight == 0 || c.state == nil {
		return
	}
	switch reason {
	case reasonOverShare:
		c.recordShareRefusal()
	case reasonBusy, reasonQueue, reasonRefused:
	default:
		return
	}
	now := clock.Now()
	c.state.shares.RecordUnserved(now)
	if c.claim.owner != nil {
		c.claim.owner.shares.RecordUnserved(now)
	}
}

// countOverShare counts a request that is refused for its tenant's share.
func (c *call) recordShareRefusal() {
	if c.tenant != nil {
		counters := c.proxy.Metrics.tenants
		counters.overShare.WithLabelValues(counters.label(c.tenant.Name)).Inc()
	}
	now, shares := clock.Now(), &c.state.shares
	if shares.RecordShareRefusal(now, c.claim.caller) {
		c.logShareChange(true, shares.RefusalShares(now, c.claim.caller))
	}
}

// tellShare writes a line where a tenant begins or ends to be refused for its share.
func (c *call) logShareChange(over bool, shares fair.RefusalShares) {
	c.proxy.Log.Line(decision.KindShare).Str("tenant", c.claim.caller.Name).Str("service", string(c.service.Name)).
		Int("priority", c.claim.caller.Priority).Bool("over", over).
		Float64("refused", shares.Own).Float64("all", shares.All).Msg("")
}
