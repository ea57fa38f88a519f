package main

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/router"
	"github.com/shalefork/shalefork/internal/settings"
)

// metricsPage is the operators' page, which must match the code. To regenerate it, run
// go test ./cmd/shalefork -update.
const metricsPage = "../../../docs/operations/metrics.md"

const metricsHead = `# Metrics

Each router shows its metrics in the Prometheus text format at ` + "`/metrics`" + ` of its
` + "`metrics_listen`" + `. Beside these there are the usual ` + "`go_*` and `process_*`" + `.
This page is made from the code by a test of ` + "`cmd/shalefork`" + `.
`

// descriptionRecorder is a registerer that only records the descriptions of metrics.
type descriptionRecorder struct {
	prometheus.Gatherer
	rows []string
}

func (d *descriptionRecorder) Register(collector prometheus.Collector) error {
	descriptions := make(chan *prometheus.Desc, 16)
	collector.Describe(descriptions)
	close(descriptions)
	for description := range descriptions {
		d.rows = append(d.rows, row(description.String()))
	}
	return nil
}

func (d *descriptionRecorder) MustRegister(collectors ...prometheus.Collector) {
	for _, collector := range collectors {
		_ = d.Register(collector)
	}
}

func (d *descriptionRecorder) Unregister(prometheus.Collector) bool { return true }

var description = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}`)

func row(text string) string {
	parts := description.FindStringSubmatch(text)
	labels := strings.ReplaceAll(parts[3], ",", ", ")
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", parts[1], kind(parts[1]), unit(parts[1]), labels, parts[2])
}

// histograms are the only metrics whose kind does not follow from their name.
var histograms = []string{"shalefork_router_request_seconds", "shalefork_router_order_seconds", "shalefork_router_store_seconds"}

func kind(name string) string {
	switch {
	case strings.HasSuffix(name, "_total"):
		return "counter"
	case slices.Contains(histograms, name):
		return "histogram"
	}
	return "gauge"
}

func unit(name string) string {
	for _, candidate := range []string{"seconds", "bytes"} {
		if strings.Contains(name, "_"+candidate) {
			return candidate
		}
	}
	return "count"
}

func TestMetricsPageMatchesCode(t *testing.T) {
	recorder := &descriptionRecorder{}
	router.New(settings.Router{}, router.Adapter{}, decision.NewTo(io.Discard, "n"), recorder)
	assert.Assert(t, len(recorder.rows) > 0)
	slices.Sort(recorder.rows)
	page := metricsHead + "\n| name | kind | unit | labels | what |\n|---|---|---|---|---|\n" + strings.Join(recorder.rows, "\n") + "\n"
	golden.Assert(t, page, metricsPage)
}

// Each metric that an alarm refers to must exist.
func TestAlarmsReferToExistingMetrics(t *testing.T) {
	metrics, err := os.ReadFile("../../docs/operations/metrics.md")
	assert.NilError(t, err)
	alarms, err := os.ReadFile("../../docs/operations/alarms.md")
	assert.NilError(t, err)
	names := regexp.MustCompile(`shalefork_[a-z_]+`).FindAllString(string(alarms), -1)
	assert.Assert(t, len(names) > 5)
	for _, name := range names {
		assert.Assert(t, strings.Contains(string(metrics), "`"+name+"`"), name)
	}
}
