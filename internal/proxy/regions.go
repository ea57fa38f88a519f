package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// regionRetryAfter is when a caller may come back whose request may be served in regions only
// that have no worker: one that starts is announced within a second or two.
const regionRetryAfter = time.Second

// Locate says which regions the zones belong to. It is called before the first request.
func (p *Proxy) SetTopology(places topology.Map) {
	p.fleet.topology = places
	p.fleet.crossing = singleRegionPolicy
	if places.RegionCount() > 1 {
		p.fleet.crossing = multiRegionPolicy
	}
}

// distance returns how far a zone is from this process.
func (f *fleet) distance(zone string) topology.Distance {
	return f.topology.Distance(topology.Zone(f.zone), topology.Zone(zone))
}

// regionOf returns a worker's region.
func (f *fleet) regionOf(worker workers.Worker) topology.Region {
	return f.topology.Region(topology.Zone(worker.Zone))
}

// bound reports whether the request may be served in some regions only.
func (c *call) regionBound() bool {
	return len(c.route.Regions) > 0 || c.tenant != nil && len(c.tenant.Regions) > 0
}

// servedIn reports whether the request may be served in a region.
func (c *call) allowedIn(region topology.Region) bool {
	return routing.ServedIn(region, c.route, c.tenant)
}

// need returns what the request asks of a worker.
func (c *call) requirements() requirements {
	bytes := c.proxy.fleet.sizes.expected(c.route)
	of := requirements{target: c.route.Target, bytes: bytes, bulk: isBulk(c.route.Class, bytes), freeSlotOnly: c.claim.yields}
	if c.regionBound() {
		of.regionAllowed = c.allowedIn
	}
	return of
}

// usable returns how many workers there are that may serve the request.
func (c *call) usableWorkerCount() int {
	list, _ := c.proxy.fleet.directory.Usable(c.service.Name)
	if !c.regionBound() {
		return len(list)
	}
	count := 0
	for _, one := range list {
		if c.allowedIn(c.proxy.fleet.regionOf(one)) {
			count++
		}
	}
	return count
}

// nowhere reports whether the request may be served in regions only that have no worker.
func (c *call) noWorkerInAllowedRegions() bool { return c.regionBound() && c.usableWorkerCount() == 0 }
