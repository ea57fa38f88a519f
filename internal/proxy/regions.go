package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// regionRetryAfter is the Retry-After delay of a request that may be served only in regions without
// a worker: a worker that starts is announced within a second or two.
const regionRetryAfter = time.Second

// SetTopology sets the assignment of zones to regions. It must be called before the first request.
func (p *Proxy) SetTopology(zoneMap topology.Map) {
	p.fleet.topology = zoneMap
	p.fleet.crossing = singleRegionPolicy
	if zoneMap.RegionCount() > 1 {
		p.fleet.crossing = multiRegionPolicy
	}
}

// distance returns the distance of a zone from this process.
func (f *fleet) distance(zone string) topology.Distance {
	return f.topology.Distance(topology.Zone(f.zone), topology.Zone(zone))
}

// regionOf returns a worker's region.
func (f *fleet) regionOf(worker workers.Worker) topology.Region {
	return f.topology.Region(topology.Zone(worker.Zone))
}

// regionBound reports whether the request may be served in some regions only.
func (c *call) regionBound() bool {
	return len(c.route.Regions) > 0 || c.tenant != nil && len(c.tenant.Regions) > 0
}

// allowedIn reports whether the request may be served in a region.
func (c *call) allowedIn(region topology.Region) bool {
	return routing.ServedIn(region, c.route, c.tenant)
}

// requirements returns what the request requires of a worker.
func (c *call) requirements() requirements {
	bytes := c.proxy.fleet.sizes.expected(c.route)
	required := requirements{target: c.route.Target, bytes: bytes, bulk: isBulk(c.route.Class, bytes), freeSlotOnly: c.claim.yields}
	if c.regionBound() {
		required.regionAllowed = c.allowedIn
	}
	return required
}

// usableWorkerCount returns the number of workers that may serve the request.
func (c *call) usableWorkerCount() int {
	list, _ := c.proxy.fleet.directory.Usable(c.service.Name)
	if !c.regionBound() {
		return len(list)
	}
	count := 0
	for _, worker := range list {
		if c.allowedIn(c.proxy.fleet.regionOf(worker)) {
			count++
		}
	}
	return count
}

// noWorkerInAllowedRegions reports whether the request may be served only in regions without a
// worker.
func (c *call) noWorkerInAllowedRegions() bool { return c.regionBound() && c.usableWorkerCount() == 0 }
