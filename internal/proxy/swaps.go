package proxy

import (
	"sync"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// maxOwed bounds how many requests of a part this process has dealt to another one and not
// made up for yet, so that the weights hold over any few requests of each process.
const maxOwed = 4

// swaps exchange requests with large bodies between the parts of a weighted route: one whose
// key has its owner in another region goes to a pool of the route instead, and for it one of
// the pool's requests goes to the owner of its key, if that is near. The weights hold, and the
// large bodies stay in the region.
//
// On a quiet day with a quarter of the downloads at a service that is divided by key, 42 of
// 92 MB that crossed between regions were downloads of it (counted by kind at 61 routers). It
// is safe for concurrent use.
type swaps struct {
	mu   sync.Mutex
	owed map[partPair]int
}

// swapped names two parts of a route.
type partPair struct {
	route       *routing.Route
	keyed, pool routing.ServiceName
}

func newSwaps() *swaps { return &swaps{owed: map[partPair]int{}} }

// whereabouts says where one part of a route would serve a request.
type serviceLocation int

const (
	// unserved: the request has no key, or the part has no worker that would take it now.
	notServed serviceLocation = iota
	// inSameRegion: in this process's region.
	inSameRegion
	// inOtherRegion: in another region.
	inOtherRegion
)

// pick returns the part that a request goes to, given the part that was dealt to it. keyed
// reports whether a service is divided by key, and where says where each would serve the request:
// only what the other part can serve in the region is exchanged.
func (s *swaps) pick(route *routing.Route, dealt routing.ServiceName, keyed func(routing.ServiceName) bool,
	where func(routing.ServiceName) serviceLocation) routing.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range route.Services {
		if part.Weight <= 0 || keyed(part.Service) == keyed(dealt) {
			continue
		}
		if keyed(dealt) {
			pair := partPair{route, dealt, part.Service}
			if s.owed[pair] < maxOwed && where(dealt) == inOtherRegion && where(part.Service) == inSameRegion {
				s.owed[pair]++
				return part.Service
			}
			continue
		}
		pair := partPair{route, part.Service, dealt}
		if s.owed[pair] > 0 && where(part.Service) == inSameRegion {
			s.owed[pair]--
			return part.Service
		}
	}
	return dealt
}

// part returns the service that the request goes to, of the route's parts. Bound requests are not
// exchanged: an owner that is near need not be allowed.
func (c *call) selectService(used *activeConfig) *routing.Service {
	dealt := used.splitter.Pick(c.route)
	fleet := c.proxy.fleet
	if len(c.route.Services) > 1 && fleet.topology.RegionCount() > 1 && !c.regionBound() && isBulk(c.route.Class, fleet.sizes.expected(c.route)) {
		keyed := func(name routing.ServiceName) bool { return c.config.Services[name].Keyed }
		dealt = used.swaps.pick(c.route, dealt, keyed, c.locateService)
	}
	return c.config.Services[dealt]
}

// whereabouts says where a part would serve the request.
func (c *call) locateService(name routing.ServiceName) serviceLocation {
	if service := c.config.Services[name]; service.Keyed {
		return c.locateOwner(service)
	}
	fleet := c.proxy.fleet
	list, _ := fleet.directory.Usable(name)
	for _, worker := range list {
		if fleet.distance(worker.Zone) != topology.OtherRegion {
			return inSameRegion
		}
	}
	if len(list) > 0 {
		return inOtherRegion
	}
	return notServed
}

// ownerWhereabouts says where the owner of the request's key stands.
func (c *call) locateOwner(service *routing.Service) serviceLocation {
	key, found := c.readKey(service)
	if !found {
		return notServed
	}
	held, known := c.proxy.Table.Lookup(service.Name, key)
	if !known || held.Moving {
		return notServed
	}
	fleet := c.proxy.fleet
	worker, announced := fleet.directory.Get(held.Worker)
	switch {
	case !announced || worker.State != workers.StateReady || !fleet.get(worker).usableAsOwner(clock.Now()),
		fleet.get(worker).backoffLeft(clock.Now()) > 0:
		return notServed
	case fleet.distance(worker.Zone) == topology.OtherRegion:
		return inOtherRegion
	}
	return inSameRegion
}
