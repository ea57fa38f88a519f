package routing

import (
	"slices"

	"github.com/shalefork/shalefork/internal/topology"
)

// AllowedRegions returns the regions that requests to a service are restricted to: those that any
// route to it allows. restricted is false if some route to it allows any region, or no route sends
// requests to it.
func (c *Config) AllowedRegions(service ServiceName) (regions []topology.Region, restricted bool) {
	for _, route := range c.routes {
		if !route.sendsTo(service) {
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

// sendsTo reports whether any of the route's requests go to a service.
func (r *Route) sendsTo(service ServiceName) bool {
	return slices.ContainsFunc(r.Services, func(one WeightedService) bool { return one.Service == service && one.Weight > 0 })
}
