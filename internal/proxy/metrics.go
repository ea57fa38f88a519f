package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/upstream"
)

// Metrics are the proxy's counters and latency histograms.
type Metrics struct {
	requests *prometheus.CounterVec
	sends    *prometheus.CounterVec
	crashes  *prometheus.CounterVec
	limits   *prometheus.CounterVec
	notices  *prometheus.CounterVec
	unread   *prometheus.CounterVec
	forwards *prometheus.CounterVec
	surplus  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	tenants  *tenantCounters
}

// latencyBuckets are the buckets' upper bounds in seconds.
var latencyBuckets = []float64{0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4}

// NewMetrics creates and registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_requests_total", Help: "Requests by their answer; reason is empty for a worker's answer.",
		}, []string{"service", "status", "reason"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_sends_total", Help: "Sends to workers by outcome.",
		}, []string{"service", "outcome"}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_worker_crashes_total", Help: "Workers that this process saw end while they were serving.",
		}, []string{"service"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_limited_sends_total", Help: "Sends to workers that named a limit of requests a second.",
		}, []string{"service"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_worker_notices_total",
			Help: "Answers that say of their worker that it leaves, or ask for a backoff: leaving, backoff or unreadable-backoff.",
		}, []string{"service", "notice"}),
		unread: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_unread_headers_total",
			Help: "Headers of workers' answers that are only passed on, by name; other: of all beyond the first 32 names.",
		}, []string{"header"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_forwarded_requests_total",
			Help: "Requests forwarded to other routers while this one is cut off from the workers: answered, not-taken or failed; received: forwarded by others.",
		}, []string{"outcome"}),
		surplus: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_surplus_answers_total",
			Help: "Answers of workers to other requests that came in the place of the next answer, and were skipped.",
		}, []string{"service"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shalefork_router_request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"service"}),
	}
	metrics.tenants = newTenantCounters()
	registerer.MustRegister(metrics.requests, metrics.sends, metrics.crashes, metrics.limits, metrics.notices, metrics.unread, metrics.forwards, metrics.surplus, metrics.latency, metrics.tenants.requests, metrics.tenants.overShare)
	return metrics
}

func (m *Metrics) recordSend(service routing.ServiceName, result *upstream.Result) {
	m.sends.WithLabelValues(string(service), string(result.Outcome)).Inc()
	if result.SurplusAnswers > 0 {
		m.surplus.WithLabelValues(string(service)).Add(float64(result.SurplusAnswers))
	}
}

func (m *Metrics) recordCrash(service routing.ServiceName) {
	m.crashes.WithLabelValues(string(service)).Inc()
}

func (m *Metrics) recordLimitedSend(service routing.ServiceName) {
	m.limits.WithLabelValues(string(service)).Inc()
}

func (m *Metrics) recordNotice(service routing.ServiceName, notice string) {
	m.notices.WithLabelValues(string(service), notice).Inc()
}

func (m *Metrics) recordUnreadHeader(name string) { m.unread.WithLabelValues(name).Inc() }

func (m *Metrics) recordEnd(service string, status int, reason string, took time.Duration) {
	m.requests.WithLabelValues(service, strconv.Itoa(status), reason).Inc()
	m.latency.WithLabelValues(service).Observe(took.Seconds())
}
