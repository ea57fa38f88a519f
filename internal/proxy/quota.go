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
	// Acquire requests a unit for one more request of a tenant. If none is available yet it waits
	// briefly, at most until ctx ends. It returns the time from which the request counts, or the
	// zero time if the request may not run; wait is then the time after which one is likely to be
	// admitted.
	Acquire(ctx context.Context, tenant *routing.Tenant) (granted time.Time, wait time.Duration)
	// AwaitsFirstGrant reports whether it is not known yet how many units this process may use.
	AwaitsFirstGrant() bool
	// RecordSent records that a request of a tenant, admitted at an earlier time, is sent to a
	// worker only now. It returns the time from which the request counts.
	RecordSent(granted time.Time, tenant *routing.Tenant) time.Time
	// Release gives back the unit that was granted at the given time for a request that no worker
	// has run or will run.
	Release(granted time.Time, tenant *routing.Tenant)
}

// quotaTimeTolerance is the delay since a request was granted or last sent beyond which a send is
// counted as of a new time. Requests wait for a worker; quotas allow for a delay of this length.
const quotaTimeTolerance = 200 * time.Millisecond

// acquireQuota counts the request against its tenant's limit. It returns false if it has already
// answered the request.
func (c *call) acquireQuota() bool {
	if c.proxy.Quota == nil || c.tenant == nil || !c.tenant.Limited() {
		return true
	}
	grantedAt, wait := c.proxy.Quota.Acquire(c.request.Context(), c.tenant)
	if grantedAt.IsZero() && c.proxy.Quota.AwaitsFirstGrant() {
		c.refuse(http.StatusServiceUnavailable, reasonQuotaUnknown, max(wait, minRetryAfter))
		return false
	}
	if grantedAt.IsZero() {
		c.refuse(http.StatusTooManyRequests, reasonOverQuota, max(wait, minRetryAfter))
		return false
	}
	c.quotaCountedAt = grantedAt
	return true
}

// recordQuotaSend makes the request count from now on if it is sent to a worker more than
// quotaTimeTolerance after the time from which it counts. Resends and hedged copies belong to the
// same request, which counts once.
func (c *call) recordQuotaSend() {
	if !c.quotaCountedAt.IsZero() && clock.Since(c.quotaCountedAt) > quotaTimeTolerance {
		c.quotaCountedAt = c.proxy.Quota.RecordSent(c.quotaCountedAt, c.tenant)
	}
}

// releaseQuota gives back the quota unit of a request that no worker has run.
func (c *call) releaseQuota() {
	if !c.quotaCountedAt.IsZero() && c.sends.mayHaveRun() == 0 {
		c.proxy.Quota.Release(c.quotaCountedAt, c.tenant)
	}
}
