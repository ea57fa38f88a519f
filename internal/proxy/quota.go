package proxy

import (
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
)

// Quota keeps tenants within their limits over all routers together. It is safe for
// concurrent use.
type Quota interface {
	// Take asks whether one more request of a tenant may run; where it may not, wait is
	// after which time one is likely to.
	Take(now time.Time, tenant *routing.Tenant) (granted bool, wait time.Duration)
	// Sent says that a request of a tenant leaves for a worker only now, though it was granted
	// at an earlier time: workers count it from now on.
	Sent(granted, now time.Time, tenant *routing.Tenant)
	// Return gives back what was granted at a time for a request that no worker has run or
	// will run.
	Return(granted time.Time, tenant *routing.Tenant)
}

// quotaGrain is how much later than it was granted, or sent last, a request is sent that
// counts from the same time. Requests wait for a worker; quotas allow for this much.
const quotaGrain = 200 * time.Millisecond

// withinQuota counts the request against its tenant's limit; false if it was answered.
func (c *call) withinQuota() bool {
	if c.proxy.Quota == nil || c.tenant == nil || !c.tenant.Limited() {
		return true
	}
	granted, wait := c.proxy.Quota.Take(c.began, c.tenant)
	if !granted {
		c.refuse(http.StatusTooManyRequests, reasonQuota, max(wait, leastRetryAfter))
	}
	if granted {
		c.counted = c.began
	}
	return granted
}

// countSend lets a request that leaves for a worker count from now on. Second sends and copies
// are of the same request, which counts once.
func (c *call) countSend() {
	if now := clock.Now(); !c.counted.IsZero() && now.Sub(c.counted) > quotaGrain {
		c.proxy.Quota.Sent(c.counted, now, c.tenant)
		c.counted = now
	}
}

// returnQuota gives back what was taken for a request that no worker has run.
func (c *call) returnQuota() {
	if !c.counted.IsZero() && c.allowed.mayHaveRun() == 0 {
		c.proxy.Quota.Return(c.counted, c.tenant)
	}
}
