package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/controller"
	"github.com/shalefork/shalefork/internal/gateway"
	"github.com/shalefork/shalefork/internal/ledgernode"
	"github.com/shalefork/shalefork/ownership"
)

// metricsPage is the page for operators, kept equal to the code. To write it
// anew: go test ./cmd/shalefork -update
const metricsPage = "../../../docs/operations/metrics.md"

const metricsHead = `# Metrics

Each process shows its metrics in the Prometheus text format at ` + "`/metrics`" + `: a
controller on its ` + "`listen`" + `, a gateway on its ` + "`peer_listen`" + `, a server where its
program puts them. Beside these there are the usual ` + "`go_*` and `process_*`" + `.
This page is made from the code by a test of ` + "`cmd/shalefork`" + `.
`

// describer is a registerer that only notes what is registered.
type describer struct {
	rows []string
}

func (d *describer) Register(collector prometheus.Collector) error {
	descriptions := make(chan *prometheus.Desc, 16)
	collector.Describe(descriptions)
	close(descriptions)
	for description := range descriptions {
		d.rows = append(d.rows, row(collector, description.String()))
	}
	return nil
}

func (d *describer) MustRegister(collectors ...prometheus.Collector) {
	for _, collector := range collectors {
		_ = d.Register(collector)
	}
}

func (d *describer) Unregister(prometheus.Collector) bool { return true }

var description = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}`)

func row(collector prometheus.Collector, text string) string {
	parts := description.FindStringSubmatch(text)
	labels := strings.ReplaceAll(parts[3], ",", ", ")
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", parts[1], kind(collector), unit(parts[1]), labels, parts[2])
}

func kind(collector prometheus.Collector) string {
	switch collector.(type) {
	case prometheus.Histogram, *prometheus.HistogramVec:
		return "histogram"
	case *prometheus.CounterVec:
		return "counter"
	case *prometheus.GaugeVec:
		return "gauge"
	}
	if _, settable := collector.(interface{ Set(float64) }); settable {
		return "gauge"
	}
	return "counter"
}

func unit(name string) string {
	for _, known := range []string{"seconds", "bytes"} {
		if strings.Contains(name, "_"+known) {
			return known
		}
	}
	return "count"
}

func TestMetricsPageMatchesTheCode(t *testing.T) {
	page := metricsHead
	sections := []struct {
		title    string
		register func(prometheus.Registerer)
	}{
		{"Gateway", func(r prometheus.Registerer) { gateway.NewMetrics(r) }},
		{"Idempotency records, at the gateways", func(r prometheus.Registerer) { ledgernode.NewMetrics(r) }},
		{"Controller", func(r prometheus.Registerer) { controller.NewMetrics(r) }},
		{"Servers, by the package ownership", func(r prometheus.Registerer) { ownership.NewMetrics(r) }},
	}
	for _, section := range sections {
		noted := &describer{}
		section.register(noted)
		assert.Assert(t, len(noted.rows) > 0)
		slices.Sort(noted.rows)
		page += "\n## " + section.title + "\n\n| name | kind | unit | labels | what |\n|---|---|---|---|---|\n"
		page += strings.Join(noted.rows, "\n") + "\n"
	}
	golden.Assert(t, page, metricsPage)
}
