package registry

import (
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
)

// classes of bodies as routes have them.
var classes = map[bundle.Bodies]routing.BodyClass{
	"":                    routing.Small,
	bundle.BodiesSmall:    routing.Small,
	bundle.BodiesBulkUp:   routing.BulkUpload,
	bundle.BodiesBulkDown: routing.BulkDownload,
}

// compileTenants returns the tenants of all teams, each in the scope of its team.
func compileTenants(bundles []bundle.Bundle) map[routing.TenantName]*routing.Tenant {
	tenants := map[routing.TenantName]*routing.Tenant{}
	for _, one := range bundles {
		for _, described := range one.Tenants {
			compiled := compileTenant(one, described)
			tenants[compiled.Name] = compiled
		}
	}
	return tenants
}

func compileTenant(one bundle.Bundle, described bundle.Tenant) *routing.Tenant {
	compiled := &routing.Tenant{
		Name:     routing.TenantName(one.TenantName(described)),
		Scope:    routing.Scope(one.Team),
		Priority: described.Priority,
		Rate:     described.Rate,
		Burst:    described.Burst,
		Regions:  compileRegions(described.Regions),
	}
	for _, text := range described.KeyDigests {
		var digest routing.KeyDigest
		if err := digest.UnmarshalText([]byte(text)); err == nil { // it was checked
			compiled.Keys = append(compiled.Keys, digest)
		}
	}
	return compiled
}

func compileRegions(names []bundle.Region) []topology.Region {
	var regions []topology.Region
	for _, name := range names {
		regions = append(regions, topology.Region(name))
	}
	return regions
}
