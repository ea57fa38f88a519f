package keeper

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Metrics are the metrics of the leader.
type Metrics struct {
	orders           *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	keyRanges        *prometheus.GaugeVec
	minHoldRemaining *prometheus.GaugeVec
	moves            *prometheus.CounterVec
	delayedGrants    *prometheus.CounterVec
}

// orderBuckets are the upper bounds of the histogram buckets for order latency, in seconds.
var orderBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.6, 1.5}

// NewMetrics creates the metrics and registers them with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_orders_total", Help: "Grants and releases sent to workers by outcome; zero unless it leads.",
		}, []string{"service", "order", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shalefork_router_order_seconds", Help: "Time until an order was answered or given up.", Buckets: orderBuckets,
		}, []string{"service", "order"}),
		keyRanges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "shalefork_router_key_runs", Help: "Runs of keys in the leader's book.",
		}, []string{"service"}),
		minHoldRemaining: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "shalefork_router_hold_left_seconds", Help: "Shortest time for which an owner surely holds its keys without another renewal.",
		}, []string{"service"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_moves_total", Help: "Moves of keys that were planned; forced: their owner is lost or leaves.",
		}, []string{"service", "forced"}),
		delayedGrants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_delayed_grants_total", Help: "Key ranges whose previous owner's hold has expired, but which left a grant unanswered that it may still accept; awaited: the keys wait for that.",
		}, []string{"service", "awaited"}),
	}
	registerer.MustRegister(metrics.orders, metrics.latency, metrics.keyRanges, metrics.minHoldRemaining, metrics.moves, metrics.delayedGrants)
	return metrics
}

func (m *Metrics) observeOrder(service routing.ServiceName, order owner.Order, outcome owner.Outcome, took time.Duration) {
	kind := "grant"
	if order.Release {
		kind = "release"
	}
	m.orders.WithLabelValues(string(service), kind, string(outcome)).Inc()
	m.latency.WithLabelValues(string(service), kind).Observe(took.Seconds())
}

func (m *Metrics) setLedger(service routing.ServiceName, spans int, left time.Duration) {
	m.keyRanges.WithLabelValues(string(service)).Set(float64(spans))
	m.minHoldRemaining.WithLabelValues(string(service)).Set(left.Seconds())
}

func (m *Metrics) countMove(service routing.ServiceName, forced bool) {
	m.moves.WithLabelValues(string(service), strconv.FormatBool(forced)).Inc()
}

func (m *Metrics) countDelayedGrant(service routing.ServiceName, awaited bool) {
	m.delayedGrants.WithLabelValues(string(service), strconv.FormatBool(awaited)).Inc()
}

// reset removes the ledger metrics when the process no longer leads.
func (m *Metrics) reset() {
	m.keyRanges.Reset()
	m.minHoldRemaining.Reset()
}
