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

// serviceState is what this process keeps of one service.
type serviceState struct {
	budget *budget
	// subset is the workers that this process prefers.
	subset    subset
	membersMu sync.Mutex
	members   memberCache
	// waiting counts the requests that wait for a worker or an owner.
	waiting atomic.Int32
	// shares count what tenants ask of the service.
	shares        fair.Ledger
	mu            sync.Mutex
	latencySpread estimate.Spread
}

// answered measures how much the times of answers vary around their workers' means.
func (s *serviceState) recordLatency(took, mean time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencySpread.Add(took, mean)
}

// late returns the share of answers that would miss a target, given their mean time.
func (s *serviceState) lateShare(mean, target time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencySpread.Late(mean, target)
}

// enter counts one more waiting request; false if there are as many as may wait,
// zero for any number.
func (s *serviceState) enqueue(limit int) bool {
	if waiting := s.waiting.Add(1); limit > 0 && int(waiting) > limit {
		s.dequeue()
		return false
	}
	return true
}

// crowded reports whether half as many requests wait as may, zero for any number: the rest of the
// places is for those that do not yield.
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
	roomDescription = prometheus.NewDesc("shalefork_router_bodies_bytes",
		"Memory that bodies in flight take.", nil, nil)
	roomLimitDescription = prometheus.NewDesc("shalefork_router_bodies_limit_bytes",
		"Memory that bodies in flight may take; 0: any.", nil, nil)
)

// Describe implements prometheus.Collector.
func (p *Proxy) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- waitingDescription
	descriptions <- tokensDescription
	descriptions <- bodiesDescription
	descriptions <- roomDescription
	descriptions <- roomLimitDescription
}

// Collect implements prometheus.Collector.
func (p *Proxy) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(of *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(of, prometheus.GaugeValue, value, labels...)
	}
	gauge(bodiesDescription, float64(p.uploads.Load()), "upload")
	gauge(bodiesDescription, float64(p.downloads.Load()), "download")
	gauge(roomDescription, float64(p.Room.Used()))
	gauge(roomLimitDescription, float64(p.Room.Limit()))
	p.fleet.mu.Lock()
	services := maps.Clone(p.fleet.services)
	p.fleet.mu.Unlock()
	for name, state := range services {
		waiting := float64(state.waiting.Load())
		metrics <- prometheus.MustNewConstMetric(waitingDescription, prometheus.GaugeValue, waiting, string(name))
		metrics <- prometheus.MustNewConstMetric(tokensDescription, prometheus.GaugeValue, state.budget.available(), string(name))
	}
}
