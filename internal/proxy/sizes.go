package proxy

import (
	"strconv"
	"sync"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/traffic"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Sizes of requests and answers of which nothing is known yet, in bytes, heads included.
const (
	defaultSmallBytes = 4 << 10
	defaultBulkBytes  = 100 << 10
	// sizeWeight is the weight of a new answer: some tens of them tell the mean.
	sizeWeight = 0.05
)

// sizes are the mean bytes of a request and its answer, by route. It is safe for concurrent
// use.
type sizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

func newSizes() *sizes { return &sizes{mean: map[string]float64{}} }

// add takes the size of one request and its answer.
func (s *sizes) add(route *routing.Route, bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.expectedLocked(route)
	s.mean[route.Name] = mean + sizeWeight*(bytes-mean)
}

// of returns the expected size.
func (s *sizes) expected(route *routing.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expectedLocked(route)
}

// meanOf is of for a caller that holds mu.
func (s *sizes) expectedLocked(route *routing.Route) float64 {
	if mean, known := s.mean[route.Name]; known {
		return mean
	}
	if route.Class != routing.Small {
		return defaultBulkBytes
	}
	return defaultSmallBytes
}

// keep forgets the routes that a configuration does not have.
func (s *sizes) retain(config *routing.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.mean {
		if !config.HasRoute(name) {
			delete(s.mean, name)
		}
	}
}

// headBytes is what the heads of a request and its answer have on average.
const headBytes = 600

// weigh notes the size of the request and of a worker's answer, as far as their heads tell. Where
// they don't, the exchange counts as one of its route's usual size, and says nothing of it.
func (c *call) recordSize(worker *workers.Worker, got *upstream.Result) {
	bytes, known := c.exchangeSize(got)
	if known {
		c.proxy.fleet.sizes.add(c.route, bytes)
	} else {
		bytes = max(bytes, c.proxy.fleet.sizes.expected(c.route))
	}
	kind := traffic.Pooled
	switch {
	case isBulk(c.route.Class, bytes):
		kind = traffic.Bulk
	case c.service.Keyed:
		kind = traffic.Keyed
	}
	c.proxy.Traffic.Add(kind, topology.Zone(worker.Zone), int(bytes))
}

// weight is the size of the request and of a worker's answer in bytes; known is false if one of
// them comes in chunks that are passed on, so that it is larger.
func (c *call) exchangeSize(got *upstream.Result) (bytes float64, known bool) {
	size := got.Body.Length()
	length, err := strconv.ParseInt(got.Header.Get("Content-Length"), 10, 64)
	if err == nil {
		size = max(size, length)
	}
	known = c.message.Length >= 0 && (got.Stream == nil || err == nil)
	return float64(headBytes + max(0, c.message.Length) + size), known
}
