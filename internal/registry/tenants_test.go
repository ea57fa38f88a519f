package registry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
	"github.com/shalefork/shalefork/internal/topology"
)

// withTenant parses a bundle's text after adding a tenant with the given API key.
func withTenant(t *testing.T, text, key string) bundle.Bundle {
	t.Helper()
	digest, err := tenant.Digest(key).MarshalText()
	assert.NilError(t, err)
	return parseBundle(t, text+"tenants:\n  - {name: metro, key_digests: ["+string(digest)+"], priority: 2, rate: 17.5, burst: 5, regions: [west]}\n")
}

func TestTenantsOfABundle(t *testing.T) {
	public := strings.Replace(bundleText, "route: {path_prefix: /bookings/", "public: true\n    regions: [west, east]\n    bodies: bulk-up\n    route: {path_prefix: /bookings/", 1)
	mine := withTenant(t, public, "k-1")
	rival := withTenant(t, strings.NewReplacer("team: tawila", "team: rival", "/tables/", "/books/", "tawila.example", "rival.example").Replace(bundleText), "k-2")
	open := parseBundle(t, strings.NewReplacer("team: tawila", "team: open", "/tables/", "/open/", "tawila.example", "open.example").Replace(bundleText))
	compiled, err := Compile([]bundle.Bundle{mine, rival, open})
	assert.NilError(t, err)
	assert.Equal(t, len(compiled.Config.Tenants), 2)
	assert.DeepEqual(t, *compiled.Config.Tenants["tawila/metro"], routing.Tenant{
		Name: "tawila/metro", Scope: "tawila", Keys: []routing.KeyDigest{tenant.Digest("k-1")},
		Priority: 2, Rate: 17.5, Burst: 5, Regions: []topology.Region{"west"},
	})
	bookings, tables := compiled.Config.Match("tawila.example", "/bookings/7"), compiled.Config.Match("x", "/tables/7")
	assert.Assert(t, bookings.Public && !tables.Public && !tables.Open)
	assert.Equal(t, bookings.Class, routing.BulkUpload)
	assert.DeepEqual(t, bookings.Regions, []topology.Region{"west", "east"})
	assert.Equal(t, tables.Scope, routing.Scope("tawila"))
	assert.Assert(t, compiled.Config.Match("x", "/open/7").Open, "a team without tenants must not require a key")
}

func TestCompileWithoutTenants(t *testing.T) {
	compiled, err := Compile([]bundle.Bundle{parseBundle(t, bundleText)})
	assert.NilError(t, err)
	assert.Assert(t, compiled.Config.Tenants == nil)
}
