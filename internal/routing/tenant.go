package routing

import (
	"encoding/hex"
	"slices"
	"strings"

	"github.com/shalefork/shalefork/internal/topology"
)

// TenantName names a customer of the services, whose callers share API keys and a quota.
type TenantName string

// keyDigestBytes is the length of a digest: with 256 bits it is infeasible to find another key that
// has the same one.
const keyDigestBytes = 32

// KeyDigest is the digest of an API key. The key itself is never kept.
type KeyDigest [keyDigestBytes]byte

// MarshalText encodes a digest in hexadecimal digits.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a digest in hexadecimal digits.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	var read KeyDigest
	if len(text) != hex.EncodedLen(len(read)) {
		return Error.New("a key's digest has %d hexadecimal digits", hex.EncodedLen(len(read)))
	}
	if _, err := hex.Decode(read[:], text); err != nil {
		return Error.New("a key's digest has hexadecimal digits only")
	}
	*d = read
	return nil
}

// Scope is a namespace of routes and tenants, such as that of a team: a key is valid only on routes
// of its own scope. It is empty where there is a single scope.
type Scope string

// Tenant is one customer of the services.
type Tenant struct {
	Name  TenantName
	Scope Scope
	// Keys are the digests of the API keys of the tenant's callers.
	Keys []KeyDigest
	// Priority overrides that of the route: 0 is the highest.
	Priority int
	// Rate is how many requests per second the tenant may run at all routers together, and Burst
	// how many more at once. Rate zero: any number.
	Rate, Burst float64
	// Regions are the only ones in which the tenant's requests may be served; empty: any.
	Regions []topology.Region
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// Priority returns a request's priority, 0 being the highest: that of its tenant, which may be nil,
// overrides that of its route.
func Priority(route *Route, tenant *Tenant) int {
	if tenant != nil {
		return tenant.Priority
	}
	return route.Priority
}

// ServedIn reports whether a request may be served in a region: both its route and its tenant,
// which may be nil, must allow it.
func ServedIn(region topology.Region, route *Route, tenant *Tenant) bool {
	return allows(route.Regions, region) && (tenant == nil || allows(tenant.Regions, region))
}

// allows reports whether a list of regions allows one; an empty list allows any.
func allows(regions []topology.Region, region topology.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// BodyClass describes how large a route's bodies are, and in which direction they are sent.
type BodyClass int

// Classes of bodies.
const (
	// Small bodies are buffered completely before they are forwarded.
	Small BodyClass = iota
	// BulkUpload is for large requests: they are read up to a limit before a worker is contacted, then
	// streamed.
	BulkUpload
	// BulkDownload is for large answers: they are held back for a part of the target, then
	// streamed.
	BulkDownload
)

// fitsHeader reports whether a text can be the value of a header and is unchanged when read back.
func fitsHeader(text string) bool {
	control := func(r rune) bool { return r < ' ' || r == del }
	return text != "" && strings.TrimSpace(text) == text && !strings.ContainsFunc(text, control)
}

// del is the only control character after the printable characters of ASCII.
const del = 0x7f

// WithTenants adds tenants to a configuration that is not in use yet. Callers must then
// authenticate with a key, except on public routes.
func (c *Config) WithTenants(tenants map[TenantName]*Tenant) (*Config, error) {
	owners := map[KeyDigest]TenantName{}
	for name, tenant := range tenants {
		if !fitsHeader(string(name)) {
			return nil, Error.New("tenant %q: the name must be one line of text, without blanks around it", name)
		}
		if tenant.Rate < 0 || tenant.Burst < 0 {
			return nil, Error.New("tenant %q: rate %g and burst %g must not be below zero", name, tenant.Rate, tenant.Burst)
		}
		for _, digest := range tenant.Keys {
			if other, taken := owners[digest]; taken && other != name {
				return nil, Error.New("tenant %q: a key that tenant %q has too", name, other)
			}
			owners[digest] = name
		}
	}
	c.Tenants = tenants
	return c, nil
}
