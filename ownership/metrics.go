package ownership

import (
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics counts what an owner does.
type Metrics struct {
	// Unauthorized requests lacked the cell's token.
	Unauthorized prometheus.Counter
	// Admitted requests reached the handler.
	Admitted prometheus.Counter
	// Refused requests did not run, by reason.
	Refused *prometheus.CounterVec
	// Cancelled requests lost their grant while they ran.
	Cancelled prometheus.Counter
	// Panics of the handler.
	Panics prometheus.Counter
	// Renewals by refusal; empty for those applied.
	Renewals *prometheus.CounterVec
}

// NewMetrics registers the counters; a nil registerer registers none.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Namespace: "shalefork", Subsystem: "ownership", Name: name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		options := prometheus.CounterOpts{Namespace: "shalefork", Subsystem: "ownership", Name: name, Help: help}
		return factory.NewCounterVec(options, []string{label})
	}
	return &Metrics{
		Unauthorized: counter("unauthorized_total", "Requests without the cell's token."),
		Admitted:     counter("admitted_total", "Requests passed to the handler."),
		Refused:      vector("refused_total", "Requests that did not run, by reason.", "reason"),
		Cancelled:    counter("cancelled_total", "Requests that lost their grant while running."),
		Panics:       counter("panics_total", "Panics of the handler."),
		Renewals:     vector("renewals_total", "Renewals by refusal; empty when applied.", "refused"),
	}
}

func logPanic(value any, stack []byte) {
	log.Error().Any("panic", value).Bytes("stack", stack).Msg("handler panicked")
}
