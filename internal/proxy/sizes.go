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

// Default sizes in bytes of a request and its answer, including headers, on a route without
// measurements.
const (
	defaultSmallBytes = 4 << 10
	defaultBulkBytes  = 100 << 10
	// sizeWeight is the weight of a new measurement: the mean adapts within some tens of answers.
	sizeWeight = 0.05
)

// sizes holds the mean size in bytes of a request and its answer for each route. It is safe for
// concurrent use.
type sizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

func newSizes() *sizes { return &sizes{mean: map[string]float64{}} }

// add records the size of one request and its answer.
func (s *sizes) add(route *routing.Route, bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.expectedLocked(route)
	s.mean[route.Name] = mean + sizeWeight*(bytes-mean)
}

// expected returns the expected size of a request and its answer.
func (s *sizes) expected(route *routing.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expectedLocked(route)
}

// expectedLocked is like expected for a caller that holds mu.
func (s *sizes) expectedLocked(route *routing.Route) float64 {
	if mean, known := s.mean[route.Name]; known {
		return mean
	}
	if route.Class != routing.Small {
		return defaultBulkBytes
	}
	return defaultSmallBytes
}

// retain removes the routes that the configuration does not have.
func (s *sizes) retain(config *routing.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.mean {
		if !config.HasRoute(name) {
			delete(s.mean, name)
		}
	}
}

// headBytes is the average size of the headers of a request and its answer together.
const headBytes = 600

// recordSize records the size of the request and of a worker's answer if both are known from their
// headers. Otherwise the exchange is counted as traffic of at least the route's expected size, and
// not added to the route's mean.
func (c *call) recordSize(worker *workers.Worker, result *upstream.Result) {
	bytes, known := c.exchangeSize(result)
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

// exchangeSize returns the size of the request and of a worker's answer in bytes. known is false if
// either is streamed in chunks, so that the actual size is larger.
func (c *call) exchangeSize(result *upstream.Result) (bytes float64, known bool) {
	size := result.Body.Length()
	length, err := strconv.ParseInt(result.Header.Get("Content-Length"), 10, 64)
	if err == nil {
		size = max(size, length)
	}
	known = c.message.Length >= 0 && (result.Stream == nil || err == nil)
	return float64(headBytes + max(0, c.message.Length) + size), known
}
