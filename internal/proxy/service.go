package proxy

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/estimate"
	"github.com/shalefork/shalefork/internal/fair"
)

// serviceState is this process's state of one service.
type serviceState struct {
	budget *budget
	// subset holds the workers that this process prefers.
	subset    subset
	membersMu sync.Mutex
	members   memberCache
	// waiting is the number of requests that wait for a worker or an owner.
	waiting atomic.Int32
	// shares count the demand of each tenant for the service.
	shares        fair.Ledger
	mu            sync.Mutex
	latencySpread estimate.Spread
}

// recordLatency records an answer's latency relative to the mean of its worker.
func (s *serviceState) recordLatency(took, mean time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencySpread.Add(took, mean)
}

// lateShare returns the fraction of answers that would miss the target, given their mean latency.
func (s *serviceState) lateShare(mean, target time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencySpread.LateShare(mean, target)
}

// enqueue counts one more waiting request. It returns false if limit requests are already waiting; a
// limit of zero permits any number.
func (s *serviceState) enqueue(limit int) bool {
	if waiting := s.waiting.Add(1); limit > 0 && int(waiting) > limit {
		s.dequeue()
		return false
	}
	return true
}

// halfFull reports whether at least half of limit requests are waiting; a limit of zero permits any
// number. The other half is reserved for requests that do not yield.
func (s *serviceState) halfFull(limit int) bool {
	return limit > 0 && 2*int(s.waiting.Load()) >= limit
}

func (s *serviceState) dequeue() { s.waiting.Add(-1) }

var (
	waitingDescription = prometheus.NewDesc("shalefork_router_waiting",
		"Requests that wait for a worker or an owner.", []string{"service"}, nil)
	tokensDescription = prometheus.NewDesc("shalefork_router_retry_tokens",
		"Second sends that this process may make at once.", []string{"service"}, nil)
	bodiesDescription = prometheus.NewDesc("shalefork_router_large_bodies",
		"Large bodies in flight: uploads from callers, downloads to them.", []string{"direction"}, nil)
	memoryUsedDescription = prometheus.NewDesc("shalefork_router_bodies_bytes",
		"Memory that bodies in flight take.", nil, nil)
	memoryLimitDescription = prometheus.NewDesc("shalefork_router_bodies_limit_bytes",
		"Memory that bodies in flight may take; 0: any.", nil, nil)
)

// Describe implements prometheus.Collector.
func (p *Proxy) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- waitingDescription
	descriptions <- tokensDescription
	descriptions <- bodiesDescription
	descriptions <- memoryUsedDescription
	descriptions <- memoryLimitDescription
}

// Collect implements prometheus.Collector.
func (p *Proxy) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(of *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(of, prometheus.GaugeValue, value, labels...)
	}
	gauge(bodiesDescription, float64(p.uploads.Load()), "upload")
	gauge(bodiesDescription, float64(p.downloads.Load()), "download")
	gauge(memoryUsedDescription, float64(p.MemoryBudget.Used()))
	gauge(memoryLimitDescription, float64(p.MemoryBudget.Limit()))
	p.fleet.mu.Lock()
	services := maps.Clone(p.fleet.services)
	p.fleet.mu.Unlock()
	for name, state := range services {
		waiting := float64(state.waiting.Load())
		metrics <- prometheus.MustNewConstMetric(waitingDescription, prometheus.GaugeValue, waiting, string(name))
		metrics <- prometheus.MustNewConstMetric(tokensDescription, prometheus.GaugeValue, state.budget.available(), string(name))
	}
}
