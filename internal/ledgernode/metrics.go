package ledgernode

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of a node.
type Metrics struct {
	// Begins by verdict or reason of refusal, as the owner gave it.
	Begins *prometheus.CounterVec
	// Finishes by result.
	Finishes *prometheus.CounterVec
	// Copies by result.
	Copies *prometheus.CounterVec
	// Uncopied records were begun without a second copy, since no other
	// gateway is known.
	Uncopied prometheus.Counter
	// Takeovers by result.
	Takeovers *prometheus.CounterVec
	// Records held.
	Records prometheus.Gauge
	// Registrations by result.
	Registrations *prometheus.CounterVec
	// Leaves by result.
	Leaves *prometheus.CounterVec
}

// NewMetrics makes the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		Begins:        vector("begins_total", "Requests begun, by verdict.", "verdict"),
		Finishes:      vector("finishes_total", "Requests finished, by result.", "result"),
		Copies:        vector("copies_total", "Second copies sent, by result.", "result"),
		Uncopied:      prometheus.NewCounter(options("uncopied_total", "Records without a second copy.")),
		Takeovers:     vector("takeovers_total", "Slices taken over, by result.", "result"),
		Records:       prometheus.NewGauge(prometheus.GaugeOpts(options("records", "Records held."))),
		Registrations: vector("registrations_total", "Registrations, by result.", "result"),
		Leaves:        vector("leaves_total", "Planned stops told to the controllers, by result.", "result"),
	}
	registerer.MustRegister(metrics.Begins, metrics.Finishes, metrics.Copies, metrics.Uncopied,
		metrics.Takeovers, metrics.Records, metrics.Registrations, metrics.Leaves)
	return metrics
}

func vector(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(options(name, help), []string{label})
}

func options(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: "shalefork", Subsystem: "ledger", Name: name, Help: help}
}

// Results of what is counted.
const (
	resultDone   = "done"
	resultFailed = "failed"
)

func resultOf(done bool) string {
	if done {
		return resultDone
	}
	return resultFailed
}

func formatHex(value uint64) string {
	return strconv.FormatUint(value, 16)
}
