package routing

import "sync"

// Splitter distributes the requests of weighted routes over their services, so that any run of
// requests comes close to the weights (smooth weighted round robin).
//
// Each route's round begins at its own offset: many processes that see few requests each would
// otherwise all begin with the same service.
type Splitter struct {
	mu      sync.Mutex
	current map[*Route][]int
	start   func(total int) int
}

// NewSplitter returns a splitter for the routes of one configuration. start returns how many
// requests of a route's first round are skipped, such as a random number below total. total is the
// length of the round, which is the sum of the weights, but at most maxSkipped.
func NewSplitter(start func(total int) int) *Splitter {
	return &Splitter{current: map[*Route][]int{}, start: start}
}

// Pick returns the service for the route's next request.
func (s *Splitter) Pick(route *Route) ServiceName {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current[route]
	if current == nil {
		current = s.startRound(route)
		s.current[route] = current
	}
	return route.Services[nextService(route, current)].Service
}

// maxSkipped limits how many requests of a round are skipped, which takes a millisecond: all
// processes load a configuration at the same time, and weights of 2^40 blocked each of them for
// hours at the first request of the route.
const maxSkipped = 100_000

// startRound returns the state of a route's first round, after the skipped requests.
func (s *Splitter) startRound(route *Route) []int {
	total := 0
	for _, weighted := range route.Services {
		total += weighted.Weight
	}
	current := make([]int, len(route.Services))
	if total <= 0 {
		return current
	}
	for range s.start(min(total, maxSkipped)) {
		nextService(route, current)
	}
	return current
}

// nextService returns the index of the service for the next request.
func nextService(route *Route, current []int) int {
	total, best := 0, 0
	for index, weighted := range route.Services {
		current[index] += weighted.Weight
		total += weighted.Weight
		if current[index] > current[best] {
			best = index
		}
	}
	current[best] -= total
	return best
}
