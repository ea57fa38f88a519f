package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
)

// Quota enforces the tenants' limits over all routers together. It is safe for concurrent use.
type Quota interface {
	// Take requests admission of one more request of a tenant. If the answer is not known yet it
	// waits briefly, at most until ctx ends. It returns the time from which the request counts, or
	// the zero time if the request may not run; wait is then the time after which one is likely to
	// be admitted.
	Take(ctx context.Context, tenant *routing.Tenant) (granted time.Time, wait time.Duration)
	// Sent records that a request of a tenant, admitted at an earlier time, is sent to a worker
	// only now. It returns the time from which the request counts.
	Sent(granted time.Time, tenant *routing.Tenant) time.Time
	// Return gives back the unit that was granted at the given time for a request that no worker
	// has run or will run.
	Return(granted time.Time, tenant *routing.Tenant)
}

// quotaTimeTolerance is the delay since a request was granted or last sent beyond which a send is
// counted as of a new time. Requests wait for a worker; quotas allow for a delay of this length.
const quotaTimeTolerance = 200 * time.Millisecond

// takeQuota counts the request against its tenant's limit. It returns false if it has already
// answered the request.
func (c *call) takeQuota() bool {
	if c.proxy.Quota == nil || c.tenant == nil || !c.tenant.Limited() {
		return true
	}
	grantedAt, wait := c.proxy.Quota.Take(c.request.Context(), c.tenant)
	if grantedAt.IsZero() {
		c.refuse(http.StatusTooManyRequests, reasonOverQuota, max(wait, minRetryAfter))
		return false
	}
	c.quotaCountedAt = grantedAt
	return true
}

// recordQuotaSend makes a request that is sent to a worker count from now on. Resends and hedges
// belong to the same request, which counts once.
func (c *call) recordQuotaSend() {
	if !c.quotaCountedAt.IsZero() && clock.Since(c.quotaCountedAt) > quotaTimeTolerance {
		c.quotaCountedAt = c.proxy.Quota.Sent(c.quotaCountedAt, c.tenant)
	}
}

// returnQuota gives back the quota unit of a request that no worker has run.
func (c *call) returnQuota() {
	if !c.quotaCountedAt.IsZero() && c.sends.mayHaveRun() == 0 {
		c.proxy.Quota.Return(c.quotaCountedAt, c.tenant)
	}
}
