package bundle

import "regexp"

// TenantName is the name of a tenant within its team.
type TenantName string

// Region is the name of a region, a set of zones that are close to one another.
type Region string

// Bodies is the class of a service's bodies, by size and direction.
type Bodies string

// Classes of bodies.
const (
	// BodiesSmall: bodies are buffered as a whole before they are forwarded.
	BodiesSmall Bodies = "small"
	// BodiesBulkUpload: request bodies are large.
	BodiesBulkUpload Bodies = "bulk-up"
	// BodiesBulkDownload: response bodies are large.
	BodiesBulkDownload Bodies = "bulk-down"
)

// KeyDigest is the SHA-256 of an API key, in 64 lower-case hexadecimal digits. A bundle never
// contains the key itself.
type KeyDigest string

// Tenant is a customer of a team's services.
type Tenant struct {
	Name TenantName `yaml:"name" json:"name" validate:"required"`
	// KeyDigests are the digests of the API keys of the tenant's callers; empty if all keys are
	// revoked.
	KeyDigests []KeyDigest `yaml:"key_digests,omitempty" json:"key_digests,omitempty"`
	// Priority takes precedence over that of the route; 0 is the highest.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty" validate:"gte=0,lte=100"`
	// Rate is the maximum rate of the tenant's requests, per second over all routers together;
	// zero means unlimited.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty" validate:"gte=0,lte=1000000000"`
	// Burst is how many more requests may run at once.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty" validate:"gte=0,lte=1000000000"`
	// Regions are the only regions in which the tenant's requests may be served; if empty, all
	// are allowed.
	Regions []Region `yaml:"regions,omitempty" json:"regions,omitempty" validate:"unique"`
}

// TenantName returns the scoped name of the team's tenant, which is sent to workers.
func (b Bundle) TenantName(tenant Tenant) ScopedName {
	return ScopedName(string(b.Team) + "/" + string(tenant.Name))
}

// digestPattern matches a digest in its only valid form.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checkTenants reports problems of tenants. An invalid digest may be an API key that was given by
// mistake, so no problem contains its text.
func (c *checker) checkTenants() {
	names := newUnique(c, "tenant name")
	digests := newUnique(c, "key digest")
	for i, tenant := range c.bundle.Tenants {
		path := elementPath("tenants", i)
		c.checkName(path+".name", string(tenant.Name))
		names.add(path+".name", string(tenant.Name))
		c.checkRegions(path+".regions", tenant.Regions)
		if tenant.Burst > 0 && tenant.Rate == 0 {
			c.report(path+".burst", "expected only with a rate")
		}
		for j, digest := range tenant.KeyDigests {
			digestPath := elementPath(path+".key_digests", j)
			if !digestPattern.MatchString(string(digest)) {
				c.report(digestPath, "expected the digest of a key, 64 hexadecimal digits in lower case, and never the key")
				continue
			}
			digests.add(digestPath, string(digest))
		}
	}
	for i, service := range c.bundle.Services {
		path := elementPath("services", i)
		c.checkRegions(path+".regions", service.Regions)
		if service.Public && len(c.bundle.Tenants) == 0 {
			c.report(path+".public", "expected only in a bundle with tenants: without them callers need no key")
		}
	}
}

func (c *checker) checkRegions(path string, regions []Region) {
	for i, region := range regions {
		c.checkName(elementPath(path, i), string(region))
	}
}
