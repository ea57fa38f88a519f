package gateway

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of a gateway.
type Metrics struct {
	// Answers by service and status class ("2xx").
	Answers *prometheus.CounterVec
	// Refusals by reason and outcome.
	Refusals *prometheus.CounterVec
	// Attempts by result, and retries by reason.
	Attempts *prometheus.CounterVec
	Retries  *prometheus.CounterVec
	// Hedges sent, and won by the second try.
	Hedges    prometheus.Counter
	HedgesWon prometheus.Counter
	// Dials to back ends.
	Dials prometheus.Counter
	// BrokenAnswers were cut after their headers had been passed on.
	BrokenAnswers prometheus.Counter
	// Mismatched answers carried another request's id and were discarded.
	Mismatched prometheus.Counter
	// Waiting requests in all queues.
	Waiting prometheus.Gauge
	// Seconds from the caller's headers to the answer's headers.
	Seconds *prometheus.HistogramVec
	// TableUpdates applied, TableRejects by cause, TableStreams begun.
	TableUpdates prometheus.Counter
	TableRejects *prometheus.CounterVec
	TableStreams prometheus.Counter
	// Probes by result.
	Probes *prometheus.CounterVec
	// PeerRefused counts requests to the peer port without the token.
	PeerRefused prometheus.Counter
}

// NewMetrics makes the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		Answers:       counters("answers_total", "Answers passed on.", "service", "class"),
		Refusals:      counters("refusals_total", "Requests refused.", "reason", "outcome"),
		Attempts:      counters("attempts_total", "Tries sent to back ends.", "result"),
		Retries:       counters("retries_total", "Tries after the first.", "reason"),
		Hedges:        counter("hedges_total", "Second tries sent early."),
		HedgesWon:     counter("hedges_won_total", "Second tries that answered first."),
		Dials:         counter("dials_total", "Connections opened to back ends."),
		BrokenAnswers: counter("broken_answers_total", "Answers cut after their headers."),
		Mismatched:    counter("mismatched_answers_total", "Answers discarded for another request id."),
		Waiting:       gauge("waiting_requests", "Requests in the queues."),
		Seconds:       histogram("request_seconds", "Time to the answer's headers.", "service"),
		TableUpdates:  counter("table_updates_total", "Table updates applied."),
		TableRejects:  counters("table_rejects_total", "Table updates not applied.", "cause"),
		TableStreams:  counter("table_streams_total", "Table streams begun."),
		Probes:        counters("probes_total", "Probes of ejected back ends.", "result"),
		PeerRefused:   counter("peer_refused_total", "Peer requests without the token."),
	}
	registerer.MustRegister(metrics.collectors()...)
	return metrics
}

func (m *Metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.Answers, m.Refusals, m.Attempts, m.Retries, m.Hedges, m.HedgesWon, m.Dials,
		m.BrokenAnswers, m.Mismatched, m.Waiting, m.Seconds, m.TableUpdates, m.TableRejects,
		m.TableStreams, m.Probes, m.PeerRefused,
	}
}

const (
	metricsNamespace = "shalefork"
	metricsSubsystem = "gateway"
)

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
	}, labels)
}
