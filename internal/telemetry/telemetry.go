// Package telemetry makes what every process reports with: a logger of JSON
// lines to standard error, a registry of metrics and the handler that shows
// them.
//
// Counters come first; a log line is written only for a change of state.
package telemetry

import (
	"io"
	"net/http"
	"os"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// PathMetrics is where a process shows its metrics.
const PathMetrics = "/metrics"

// NewLogger returns a logger of JSON lines to standard error. Every line names
// the process. An unknown level counts as info.
func NewLogger(process, level string) *log.Logger {
	return newLogger(os.Stderr, process, level)
}

func newLogger(writer io.Writer, process, level string) *log.Logger {
	return &log.Logger{
		Level:   parseLevel(level),
		Context: log.NewContext(nil).Str("process", process).Int("pid", os.Getpid()).Value(),
		Writer:  log.IOWriter{Writer: writer},
	}
}

func parseLevel(level string) log.Level {
	switch level {
	case "debug":
		return log.DebugLevel
	case "warn":
		return log.WarnLevel
	case "error":
		return log.ErrorLevel
	default:
		return log.InfoLevel
	}
}

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
