package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func TestLoggerWritesJSONFromItsLevel(t *testing.T) {
	var written bytes.Buffer
	logger := newLogger(&written, "gateway", "warn")
	logger.Info().Msg("left out")
	logger.Warn().Str("server", "a").Msg("kept")
	var line map[string]any
	assert.NilError(t, json.Unmarshal(written.Bytes(), &line))
	assert.Equal(t, line["process"], "gateway")
	assert.Equal(t, line["message"], "kept")
	assert.Equal(t, line["server"], "a")
}

func TestMetricsHandlerShowsTheRegistry(t *testing.T) {
	registry := NewRegistry()
	moves := prometheus.NewCounter(prometheus.CounterOpts{Name: "moves_total"})
	registry.MustRegister(moves)
	moves.Inc()
	recorder := httptest.NewRecorder()
	MetricsHandler(registry).ServeHTTP(recorder, httptest.NewRequest("GET", PathMetrics, nil))
	assert.Assert(t, strings.Contains(recorder.Body.String(), "moves_total 1\n"))
	assert.Assert(t, strings.Contains(recorder.Body.String(), "go_goroutines"))
}
