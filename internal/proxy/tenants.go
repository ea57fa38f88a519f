package proxy

import (
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
)

// Reasons of answers to callers that no tenant answers for.
const (
	reasonKeyMissing   = string(tenant.Missing)
	reasonKeyMalformed = string(tenant.Malformed)
	reasonKeyUnknown   = string(tenant.Unknown)
	reasonKeyTakenAway = string(tenant.Revoked)
	// reasonOutdated: keys may have been taken away that are known here still.
	reasonOutdated = "configuration-outdated"
)

// outdatedRetryAfter is when a caller may come back to a router whose configuration may be out of
// date: one that the store refuses hears its neighbours within that time, and other routers
// are in touch.
const outdatedRetryAfter = 300 * time.Millisecond

// index returns the index of a configuration's API keys; nil if it has no tenants. old is what
// was in force before; nil if nothing was.
func (p *Proxy) buildKeyIndex(config *routing.Config, old *activeConfig) *tenant.Index {
	switch {
	case config.Tenants == nil:
		return nil
	case old == nil:
		return tenant.NewIndex(p.secret, config, nil)
	}
	return tenant.NewIndex(p.secret, config, old.keys)
}

// identify finds out which tenant the caller belongs to; false if the request was answered.
// A worker gets neither the key nor what the caller says of its tenant, but the tenant that was
// proved.
func (c *call) identify(keys *tenant.Index) bool {
	if keys == nil || c.route.Open {
		return true
	}
	var caller tenant.Caller
	if !c.route.Public {
		caller = keys.Identify(c.request.Header, c.route.Scope)
	}
	c.message.StripIdentity = true
	if c.route.Public {
		return true
	}
	if caller.Result != tenant.Authenticated {
		c.removedKey = caller.RevokedKey
		c.writer.Header().Set("WWW-Authenticate", tenant.Scheme)
		c.refuse(http.StatusUnauthorized, string(caller.Result), 0)
		return false
	}
	c.tenant = caller.Tenant
	if outdated := c.proxy.Outdated; outdated != nil && outdated() {
		c.refuse(http.StatusServiceUnavailable, reasonOutdated, outdatedRetryAfter)
		return false
	}
	c.message.Tenant = string(c.tenant.Name)
	return true
}

// publicReason is what a caller is told of the reason of an answer: whoever shows a key that was
// taken away need not learn that it once was good.
func publicReason(reason string) string {
	if reason == reasonKeyTakenAway {
		return reasonKeyUnknown
	}
	return reason
}
