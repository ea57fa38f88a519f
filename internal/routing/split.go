package routing

import "sync"

// Splitter deals the requests of weighted routes to their parts, so that any
// run of requests comes close to the weights (smooth weighted round robin).
//
// Each route's round begins at a place of its own: many processes that see few requests
// each would else all begin with the same part.
type Splitter struct {
	mu      sync.Mutex
	current map[*Route][]int
	start   func(total int) int
}

// NewSplitter returns a splitter for the routes of one configuration. start returns how
// many requests of a round, whose length is the total of the weights, are passed over
// first, such as a random number below it.
func NewSplitter(start func(total int) int) *Splitter {
	return &Splitter{current: map[*Route][]int{}, start: start}
}

// Pick returns the part for the route's next request.
func (s *Splitter) Pick(route *Route) ServiceName {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current[route]
	if current == nil {
		current = s.begin(route)
		s.current[route] = current
	}
	return route.Services[deal(route, current)].Service
}

// mostPassedOver bounds how many requests of a round are passed over, which takes a millisecond:
// all processes take a configuration at once, and weights of 2^40 held up each of them for hours
// at the first request of the route.
const mostPassedOver = 100_000

// begin returns where a route's round begins.
func (s *Splitter) begin(route *Route) []int {
	total := 0
	for _, part := range route.Services {
		total += part.Weight
	}
	current := make([]int, len(route.Services))
	if total <= 0 {
		return current
	}
	for range s.start(min(total, mostPassedOver)) {
		deal(route, current)
	}
	return current
}

// deal returns the index of the next part.
func deal(route *Route, current []int) int {
	total, best := 0, 0
	for index, part := range route.Services {
		current[index] += part.Weight
		total += part.Weight
		if current[index] > current[best] {
			best = index
		}
	}
	current[best] -= total
	return best
}
