package routing

import (
	"encoding/hex"
	"slices"
	"strings"

	"github.com/shalefork/shalefork/internal/topology"
)

// TenantName names a customer of the services, whose callers share API keys and a quota.
type TenantName string

// keyDigestBytes is the length of a digest: of 256 bits, so that nobody finds another key
// with the same one.
const keyDigestBytes = 32

// KeyDigest stands for an API key, which is never kept itself.
type KeyDigest [keyDigestBytes]byte

// MarshalText writes a digest in hexadecimal digits.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads a digest of hexadecimal digits.
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

// Scope names what routes and tenants belong to, such as a team: a key is good on routes of its own
// scope only. Where all is one scope it is empty.
type Scope string

// Tenant is one customer of the services.
type Tenant struct {
	Name  TenantName
	Scope Scope
	// Keys are the digests of the API keys that the tenant's callers show.
	Keys []KeyDigest
	// Priority goes before that of the route: 0 is the highest.
	Priority int
	// Rate is how many requests a second the tenant may have run over all routers together,
	// and Burst how many more at once. Rate zero: any number.
	Rate, Burst float64
	// Regions are the only ones in which the tenant's requests may be served; empty: any.
	Regions []topology.Region
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// Priority returns a request's rank, 0 being the highest: that of its tenant, which may be nil,
// goes before that of its route.
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

// BodyClass says how large a route's bodies are, and which way they go.
type BodyClass int

// Classes of bodies.
const (
	// Small bodies are kept whole until they are passed on.
	Small BodyClass = iota
	// BulkUpload are large requests: read up to a bound before a worker is asked, then passed on.
	BulkUpload
	// BulkDownload are large answers: kept back for a part of the target, then passed on as they come.
	BulkDownload
)

// fitsHeader reports whether a text can be the value of a header and comes out of it unchanged.
func fitsHeader(text string) bool {
	control := func(r rune) bool { return r < ' ' || r == del }
	return text != "" && strings.TrimSpace(text) == text && !strings.ContainsFunc(text, control)
}

// del is the one control character after the printable ones of ASCII.
const del = 0x7f

// WithTenants adds tenants to a configuration that is not in use yet. Callers must show a
// key then, but on public routes.
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
