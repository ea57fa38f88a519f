// Package forward chooses the routers to which this one forwards requests while it is cut off from the
// workers, and keeps the connections to them.
package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/upstream"
)

const (
	// toldLifetime is for how long a router counts as one that reaches the workers after the leader
	// has named it.
	toldLifetime = 3 * time.Second
	// avoidTime is for how long a router gets no requests after it failed to take one.
	avoidTime = time.Second
)

// Helper is a router that may take requests of this one.
type Helper struct {
	Address string
	Pool    *upstream.Pool
	// inFlight is the number of requests that this router has forwarded to it and that have not
	// ended.
	inFlight int
	// toldAt is when the leader last named it, and avoidUntil the end of the time in which it gets no
	// requests.
	toldAt, avoidUntil time.Time
}

// Set holds the known helpers. It is safe for concurrent use.
type Set struct {
	dial upstream.DialFunc
	// others returns the addresses of other routers, of which it is not known whether they reach the
	// workers.
	others func() []string

	mu      sync.Mutex
	helpers map[string]*Helper
}

// NewSet returns a set without helpers. Connections are opened by dial. Where no helper is known, others
// names routers to try.
func NewSet(dial upstream.DialFunc, others func() []string) *Set {
	return &Set{dial: dial, others: others, helpers: map[string]*Helper{}}
}

// Told records that the leader has named routers that reach the workers.
func (s *Set) Told(now time.Time, addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range addresses {
		s.get(address).toldAt = now
	}
}

// get returns the helper at an address. The caller holds mu.
func (s *Set) get(address string) *Helper {
	helper := s.helpers[address]
	if helper == nil {
		helper = &Helper{Address: address, Pool: upstream.NewPool(address, s.dial)}
		s.helpers[address] = helper
	}
	return helper
}

// Take chooses a helper for a request, other than those that were tried for it; nil if there is none.
// The caller returns it with Return. Helpers that the leader has named come first; among equals, the one
// with the fewest requests of this router in flight, so that one that does not answer gets few.
func (s *Set) Take(now time.Time, tried map[string]bool) *Helper {
	others := s.others()
	s.mu.Lock()
	defer s.mu.Unlock()
	var told, untold []*Helper
	for _, helper := range s.helpers {
		if helper.available(now, tried) && now.Sub(helper.toldAt) < toldLifetime {
			told = append(told, helper)
		}
	}
	for _, address := range others {
		if helper := s.get(address); helper.available(now, tried) && now.Sub(helper.toldAt) >= toldLifetime {
			untold = append(untold, helper)
		}
	}
	chosen := leastLoaded(told)
	if chosen == nil {
		chosen = leastLoaded(untold)
	}
	if chosen != nil {
		chosen.inFlight++
	}
	return chosen
}

func (h *Helper) available(now time.Time, tried map[string]bool) bool {
	return !tried[h.Address] && !now.Before(h.avoidUntil)
}

// leastLoaded returns one of the helpers with the fewest requests in flight, at random.
func leastLoaded(helpers []*Helper) *Helper {
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var least *Helper
	for _, helper := range helpers {
		if least == nil || helper.inFlight < least.inFlight {
			least = helper
		}
	}
	return least
}

// Return ends the use of a helper for a request. If the helper did not take the request or did not
// answer, it is avoided for a while.
func (s *Set) Return(now time.Time, helper *Helper, answered bool) {
	s.mu.Lock()
	helper.inFlight--
	if !answered {
		helper.avoidUntil = now.Add(avoidTime)
	}
	s.mu.Unlock()
	if !answered {
		helper.Pool.DropIdle()
	}
}

// Prune closes connections that have been idle for too long and forgets helpers that are no longer known.
func (s *Set) Prune(now time.Time) {
	known := map[string]bool{}
	for _, address := range s.others() {
		known[address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, helper := range s.helpers {
		helper.Pool.Prune(now)
		if helper.inFlight == 0 && !known[address] && now.Sub(helper.toldAt) >= toldLifetime {
			helper.Pool.DropIdle()
			delete(s.helpers, address)
		}
	}
}
