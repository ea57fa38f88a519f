package proxy

import (
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Quota keeps tenants within their limits over all routers together. It is safe for
// concurrent use.
type Quota interface {
	// Take asks whether one more request of a tenant may run; where it may not, wait is
	// after which time one is likely to.
	Take(now time.Time, tenant *routing.Tenant) (granted bool, wait time.Duration)
	// Return gives back what was taken for a request that no worker has run or will run.
	Return(now time.Time, tenant *routing.Tenant)
}

// withinQuota counts the request against its tenant's limit; false if it was answered.
func (c *call) withinQuota() bool {
	if c.proxy.Quota == nil || c.tenant == nil || !c.tenant.Limited() {
		return true
	}
	granted, wait := c.proxy.Quota.Take(c.began, c.tenant)
	if !granted {
		c.refuse(http.StatusTooManyRequests, reasonQuota, max(wait, leastRetryAfter))
	}
	return granted
}
