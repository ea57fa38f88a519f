package registry

import (
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
)

// bodyClasses maps the bodies of a bundle's service to the body class of its route.
var bodyClasses = map[bundle.Bodies]routing.BodyClass{
	"":                        routing.Small,
	bundle.BodiesSmall:        routing.Small,
	bundle.BodiesBulkUpload:   routing.BulkUpload,
	bundle.BodiesBulkDownload: routing.BulkDownload,
}

// compileTenants compiles the tenants of all teams, each in the scope of its team.
func compileTenants(bundles []bundle.Bundle) map[routing.TenantName]*routing.Tenant {
	tenants := map[routing.TenantName]*routing.Tenant{}
	for _, teamBundle := range bundles {
		for _, tenant := range teamBundle.Tenants {
			compiled := compileTenant(teamBundle, tenant)
			tenants[compiled.Name] = compiled
		}
	}
	return tenants
}

func compileTenant(teamBundle bundle.Bundle, tenant bundle.Tenant) *routing.Tenant {
	compiled := &routing.Tenant{
		Name:     routing.TenantName(teamBundle.TenantName(tenant)),
		Scope:    routing.Scope(teamBundle.Team),
		Priority: tenant.Priority,
		Rate:     tenant.Rate,
		Burst:    tenant.Burst,
		Regions:  compileRegions(tenant.Regions),
	}
	for _, text := range tenant.KeyDigests {
		var digest routing.KeyDigest
		if err := digest.UnmarshalText([]byte(text)); err == nil { // validated with the bundle
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
