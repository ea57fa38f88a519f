package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// regionReturn is when a caller may come back whose request may be served in regions only
// that have no worker: one that starts is announced within a second or two.
const regionReturn = time.Second

// Locate says which regions the zones belong to. It is called before the first request.
func (p *Proxy) Locate(places topology.Map) {
	p.fleet.places = places
	p.fleet.policy = zoned
	if places.RegionCount() > 1 {
		p.fleet.policy = regional
	}
}

// distance returns how far a zone is from this process.
func (f *fleet) distance(zone string) topology.Distance {
	return f.places.Distance(topology.Zone(f.zone), topology.Zone(zone))
}

// regionOf returns a worker's region.
func (f *fleet) regionOf(worker workers.Worker) topology.Region {
	return f.places.Region(topology.Zone(worker.Zone))
}

// bound reports whether the request may be served in some regions only.
func (c *call) bound() bool {
	return len(c.route.Regions) > 0 || c.tenant != nil && len(c.tenant.Regions) > 0
}

// servedIn reports whether the request may be served in a region.
func (c *call) servedIn(region topology.Region) bool {
	return routing.ServedIn(region, c.route, c.tenant)
}

// need returns what the request asks of a worker.
func (c *call) need() need {
	bytes := c.proxy.fleet.sizes.of(c.route)
	of := need{target: c.route.Target, bytes: bytes, bulk: bulky(c.route.Class, bytes), free: c.claim.yields}
	if c.bound() {
		of.serves = c.servedIn
	}
	return of
}

// usable returns how many workers there are that may serve the request.
func (c *call) usable() int {
	list, _ := c.proxy.fleet.directory.Usable(c.service.Name)
	if !c.bound() {
		return len(list)
	}
	count := 0
	for _, one := range list {
		if c.servedIn(c.proxy.fleet.regionOf(one)) {
			count++
		}
	}
	return count
}

// nowhere reports whether the request may be served in regions only that have no worker.
func (c *call) nowhere() bool { return c.bound() && c.usable() == 0 }
