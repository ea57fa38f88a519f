package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func TestMetricsHandlerServesRegistry(t *testing.T) {
	registry := NewRegistry()
	moves := prometheus.NewCounter(prometheus.CounterOpts{Name: "moves_total"})
	registry.MustRegister(moves)
	moves.Inc()
	recorder := httptest.NewRecorder()
	MetricsHandler(registry).ServeHTTP(recorder, httptest.NewRequest("GET", PathMetrics, nil))
	assert.Assert(t, strings.Contains(recorder.Body.String(), "moves_total 1\n"))
	assert.Assert(t, strings.Contains(recorder.Body.String(), "go_goroutines"))
}
