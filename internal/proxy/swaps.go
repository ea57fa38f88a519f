package proxy

import (
	"sync"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
)

// mostOwed bounds how many requests of a part this process has dealt to another one and not
// made up for yet, so that the weights hold over any few requests of each process.
const mostOwed = 4

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
	owed map[swapped]int
}

// swapped names two parts of a route.
type swapped struct {
	route       *routing.Route
	keyed, pool routing.ServiceName
}

func newSwaps() *swaps { return &swaps{owed: map[swapped]int{}} }

// pick returns the part that a request goes to, given the part that was dealt to it. keyed
// reports whether a service is divided by key, and across whether the owner of the request's
// key there stands in another region.
func (s *swaps) pick(route *routing.Route, dealt routing.ServiceName, keyed, across func(routing.ServiceName) bool) routing.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range route.Parts {
		if part.Weight <= 0 || keyed(part.Service) == keyed(dealt) {
			continue
		}
		if keyed(dealt) {
			pair := swapped{route, dealt, part.Service}
			if s.owed[pair] < mostOwed && across(dealt) {
				s.owed[pair]++
				return part.Service
			}
			continue
		}
		pair := swapped{route, part.Service, dealt}
		if s.owed[pair] > 0 && !across(part.Service) {
			s.owed[pair]--
			return part.Service
		}
	}
	return dealt
}

// part returns the service that the request goes to, of the route's parts. Bound requests are not
// exchanged: an owner that is near need not be allowed.
func (c *call) part(used *active) *routing.Service {
	dealt := used.splitter.Pick(c.route)
	fleet := c.proxy.fleet
	if len(c.route.Parts) > 1 && fleet.places.Regions() > 1 && !c.bound() && bulky(c.route.Class, fleet.sizes.of(c.route)) {
		keyed := func(name routing.ServiceName) bool { return c.config.Services[name].Keyed }
		dealt = used.swaps.pick(c.route, dealt, keyed, c.ownedAcross)
	}
	return c.config.Services[dealt]
}

// ownedAcross reports whether the owner of the request's key stands in another region.
func (c *call) ownedAcross(name routing.ServiceName) bool {
	key, found := c.readKey(c.config.Services[name])
	if !found {
		return false
	}
	held, known := c.proxy.Table.Lookup(name, key)
	if !known {
		return false
	}
	worker, announced := c.proxy.fleet.directory.Get(held.Worker)
	return announced && c.proxy.fleet.distance(worker.Zone) == topology.OtherRegion
}
