package bundle

import "regexp"

// TenantName names a tenant within its team.
type TenantName string

// Region names a set of zones that are near to one another.
type Region string

// Bodies says how large a service's bodies are, and which way they go.
type Bodies string

// Classes of bodies.
const (
	// BodiesSmall are kept whole until they are passed on.
	BodiesSmall Bodies = "small"
	// BodiesBulkUpload are large requests.
	BodiesBulkUpload Bodies = "bulk-up"
	// BodiesBulkDownload are large answers.
	BodiesBulkDownload Bodies = "bulk-down"
)

// KeyDigest is the SHA-256 of an API key, in 64 hexadecimal digits of lower case. A bundle never
// holds the key itself.
type KeyDigest string

// Tenant is a customer of a team's services.
type Tenant struct {
	Name TenantName `yaml:"name" json:"name" validate:"required"`
	// KeyDigests are those of the API keys that the tenant's callers show; none: all were taken away.
	KeyDigests []KeyDigest `yaml:"key_digests,omitempty" json:"key_digests,omitempty"`
	// Priority goes before the route's: 0 is the highest.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty" validate:"gte=0,lte=100"`
	// Rate is how many requests a second the tenant may have run over all routers together; zero
	// means any number.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty" validate:"gte=0,lte=1000000000"`
	// Burst is how many more may run at once.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty" validate:"gte=0,lte=1000000000"`
	// Regions are the only ones in which the tenant's requests may be served; none: any.
	Regions []Region `yaml:"regions,omitempty" json:"regions,omitempty" validate:"unique"`
}

// TenantName returns the scoped name of the team's tenant, which workers are told.
func (b Bundle) TenantName(tenant Tenant) ScopedName {
	return ScopedName(string(b.Team) + "/" + string(tenant.Name))
}

// digestPattern matches a digest in its one form.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checkTenants finds mistakes of tenants. What stands in the place of a digest may be a key: it is
// never repeated.
func (c *checker) checkTenants() {
	names := newUnique(c, "tenant name")
	digests := newUnique(c, "key digest")
	for i, tenant := range c.bundle.Tenants {
		path := field("tenants", i)
		c.checkName(path+".name", string(tenant.Name))
		names.add(path+".name", string(tenant.Name))
		c.checkRegions(path+".regions", tenant.Regions)
		if tenant.Burst > 0 && tenant.Rate == 0 {
			c.report(path+".burst", "expected only with a rate")
		}
		for j, digest := range tenant.KeyDigests {
			at := field(path+".key_digests", j)
			if !digestPattern.MatchString(string(digest)) {
				c.report(at, "expected the digest of a key, 64 hexadecimal digits in lower case, and never the key")
				continue
			}
			digests.add(at, string(digest))
		}
	}
	for i, service := range c.bundle.Services {
		path := field("services", i)
		c.checkRegions(path+".regions", service.Regions)
		if service.Public && len(c.bundle.Tenants) == 0 {
			c.report(path+".public", "expected only in a bundle with tenants: without them callers need no key")
		}
	}
}

func (c *checker) checkRegions(path string, regions []Region) {
	for i, region := range regions {
		c.checkName(field(path, i), string(region))
	}
}
