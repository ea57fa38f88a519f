package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/fair"
	"github.com/shalefork/shalefork/internal/routing"
)

// minOwnerRequests is the number of recent requests for one worker from which on its own counts are
// used rather than those of the service. With fewer requests chance determines which tenant seems
// to request too much.
const minOwnerRequests = 10

// claim is the request's tenant, priority and weight for fair sharing of scarce workers. The zero
// value belongs to a configuration without tenants, for which nothing is counted.
type claim struct {
	caller fair.Caller
	weight float64
	// yields reports that the request may only go to a worker with a free slot, and waits for one,
	// because its tenant requests more than its share.
	yields bool
	// owner is the owner of the request's key whose shares have counted the request; nil if there
	// is none.
	owner *backend
}

// meanTenantRate returns the mean limit of the tenants that have one, which is the weight of the
// others. It returns 1 if no tenant has a limit.
func meanTenantRate(config *routing.Config) float64 {
	total, count := 0.0, 0
	for _, tenant := range config.Tenants {
		if tenant.Limited() {
			total += tenant.Rate
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return total / float64(count)
}

// recordDemand counts the request for its tenant if the configuration has tenants.
func (c *call) recordDemand(active *activeConfig) {
	if active.keys == nil {
		return
	}
	c.claim.weight = active.defaultWeight
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

// refusalReason returns the reason for which a request is refused without sending it to its owner,
// because the owner rejects requests. It returns an empty string if the request may be sent.
func (c *call) refusalReason(now time.Time, to *backend) string {
	if c.claim.weight == 0 {
		if to.throttled(now, rand.Float64()) {
			return reasonBusy
		}
		return ""
	}
	refuseShare, rejecting := to.refusalShare(now)
	if !rejecting {
		return ""
	}
	if c.claim.owner != to {
		c.claim.owner = to
		to.shares.RecordRequest(now, c.claim.caller, c.claim.weight)
	}
	shares := to.shares.RefusalShares(now, c.claim.caller)
	if shares.All > 0 && to.shares.RecentRequests(now) >= minOwnerRequests {
		refuseShare = max(refuseShare, shares.All)
	} else {
		shares = c.state.shares.RefusalShares(now, c.claim.caller)
	}
	if rand.Float64() >= shares.Scaled(refuseShare) {
		return ""
	}
	to.recordThrottled(now)
	if shares.Own > shares.All {
		return reasonOverShare
	}
	return reasonBusy
}

// recordUnserved counts a request that was refused for lack of capacity.
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

// recordShareRefusal counts a request that is refused because of its tenant's share.
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

// logShareChange logs that requests of a tenant begin or cease to be refused because of its share.
func (c *call) logShareChange(over bool, shares fair.RefusalShares) {
	c.proxy.Log.Line(decision.KindTenantOverShare).Str("tenant", c.claim.caller.Name).Str("service", string(c.service.Name)).
		Int("priority", c.claim.caller.Priority).Bool("over", over).
		Float64("refused", shares.Own).Float64("all", shares.All).Msg("")
}
