// Package telemetry makes the registry of metrics and the handler that shows them.
// Log lines are internal/decision's.
package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"net/http"
)

// PathMetrics is where a process shows its metrics.
const PathMetrics = "/metrics"

// NewRegistry returns a registry that already holds the metrics of the Go
// runtime and of the process itself.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// MetricsHandler shows the registry's metrics in the Prometheus text format.
func MetricsHandler(gatherer prometheus.Gatherer) http.Handler {
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})
}
