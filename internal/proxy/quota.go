package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
)

// Quota keeps tenants within their limits over all routers together. It is safe for
// concurrent use.
type Quota interface {
	// Take asks whether one more request of a tenant may run, and waits a moment where that is
	// not known yet, for as long as ctx lasts. It returns as of when the request counts; the
	// zero time if it may not run: wait is after which time one is likely to.
	Take(ctx context.Context, tenant *routing.Tenant) (granted time.Time, wait time.Duration)
	// Sent says that a request of a tenant leaves for a worker only now, though it was granted
	// at an earlier time. It returns as of when the request counts.
	Sent(granted time.Time, tenant *routing.Tenant) time.Time
	// Return gives back what was granted at a time for a request that no worker has run or
	// will run.
	Return(granted time.Time, tenant *routing.Tenant)
}

// quotaTimeTolerance is how much later than it was granted, or sent last, a request is sent that
// counts from the same time. Requests wait for a worker; quotas allow for this much.
const quotaTimeTolerance = 200 * time.Millisecond

// withinQuota counts the request against its tenant's limit; false if it was answered.
func (c *call) takeQuota() bool {
	if c.proxy.Quota == nil || c.tenant == nil || !c.tenant.Limited() {
		return true
	}
	granted, wait := c.proxy.Quota.Take(c.request.Context(), c.tenant)
	if granted.IsZero() {
		c.refuse(http.StatusTooManyRequests, reasonOverQuota, max(wait, minRetryAfter))
		return false
	}
	c.quotaCountedAt = granted
	return true
}

// countSend lets a request that leaves for a worker count from now on. Second sends and copies
// are of the same request, which counts once.
func (c *call) recordQuotaSend() {
	if !c.quotaCountedAt.IsZero() && clock.Since(c.quotaCountedAt) > quotaTimeTolerance {
		c.quotaCountedAt = c.proxy.Quota.Sent(c.quotaCountedAt, c.tenant)
	}
}

// returnQuota gives back what was taken for a request that no worker has run.
func (c *call) returnQuota() {
	if !c.quotaCountedAt.IsZero() && c.sends.mayHaveRun() == 0 {
		c.proxy.Quota.Return(c.quotaCountedAt, c.tenant)
	}
}
