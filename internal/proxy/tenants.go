package proxy

import (
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
)

// Reasons of answers to callers that are not identified as a tenant.
const (
	reasonKeyMissing   = string(tenant.Missing)
	reasonKeyMalformed = string(tenant.Malformed)
	reasonKeyUnknown   = string(tenant.Unknown)
	reasonKeyTakenAway = string(tenant.Revoked)
	// reasonOutdated: API keys that this process still accepts may have been revoked.
	reasonOutdated = "configuration-outdated"
)

// outdatedRetryAfter is the Retry-After delay of a router whose configuration may be out of date. A
// router whose requests the store refuses receives updates from its peers within that time, and
// other routers are up to date.
const outdatedRetryAfter = 300 * time.Millisecond

// buildKeyIndex returns the index of a configuration's API keys; nil if it has no tenants. old is
// the previous configuration; nil if there was none.
func (p *Proxy) buildKeyIndex(config *routing.Config, old *activeConfig) *tenant.Index {
	switch {
	case config.Tenants == nil:
		return nil
	case old == nil:
		return tenant.NewIndex(p.secret, config, nil)
	}
	return tenant.NewIndex(p.secret, config, old.keys)
}

// identify determines the caller's tenant by its API key. It returns false if it has already
// answered the request. The worker receives neither the key nor a tenant name set by the caller,
// but the name of the authenticated tenant.
func (c *call) identify(keys *tenant.Index) bool {
	if keys == nil || c.route.Open {
		return true
	}
	if c.origin.tenant != "" {
		return c.acceptIdentified()
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

// acceptIdentified takes the tenant that another router has identified. It returns false if it has answered
// the request: this router's configuration has no such tenant.
func (c *call) acceptIdentified() bool {
	c.message.StripIdentity = true
	if c.tenant = c.config.Tenants[c.origin.tenant]; c.tenant == nil {
		c.declineForwarded()
		c.refuse(http.StatusServiceUnavailable, reasonNoConfig, outdatedRetryAfter)
		return false
	}
	c.message.Tenant = string(c.tenant.Name)
	return true
}

// publicReason returns the reason that is shown to the caller. A caller with a revoked key must not
// learn that the key was once valid.
func publicReason(reason string) string {
	if reason == reasonKeyTakenAway {
		return reasonKeyUnknown
	}
	return reason
}
