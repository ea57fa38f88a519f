package routing

import (
	"slices"

	"github.com/shalefork/shalefork/internal/topology"
)

// RegionsOf returns the only regions in which a service can be asked for: those that any route
// to it allows. bound is false if some route to it may be served anywhere, or none leads there.
func (c *Config) AllowedRegions(service ServiceName) (regions []topology.Region, bound bool) {
	for _, route := range c.routes {
		if !route.leadsTo(service) {
			continue
		}
		if len(route.Regions) == 0 {
			return nil, false
		}
		for _, region := range route.Regions {
			if !slices.Contains(regions, region) {
				regions = append(regions, region)
			}
		}
	}
	return regions, len(regions) > 0
}

// leadsTo reports whether any of the route's requests go to a service.
func (r *Route) leadsTo(service ServiceName) bool {
	return slices.ContainsFunc(r.Services, func(one WeightedService) bool { return one.Service == service && one.Weight > 0 })
}
