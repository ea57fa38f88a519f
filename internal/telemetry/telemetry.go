// Package telemetry creates the metrics registry of a process and the HTTP handler that serves it.
// Logging is in internal/decision.
package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"net/http"
)

// PathMetrics is the HTTP path under which a process serves its metrics.
const PathMetrics = "/metrics"

// NewRegistry returns a registry that contains the metrics of the Go runtime and of the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// MetricsHandler serves the registry's metrics in the Prometheus text format.
func MetricsHandler(gatherer prometheus.Gatherer) http.Handler {
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})
}
