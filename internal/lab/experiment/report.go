package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// spread is a value over all seeds.
type spread struct {
	median, lowest, highest float64
}

func spreadOf(values []float64) spread {
	sorted := slices.Sorted(slices.Values(values))
	return spread{median: sorted[len(sorted)/2], lowest: sorted[0], highest: sorted[len(sorted)-1]}
}

func (s spread) format(digits int) string {
	return fmt.Sprintf("%.*f [%.*f-%.*f]", digits, s.median, digits, s.lowest, digits, s.highest)
}

// column is one measure of the table.
type column struct {
	title  string
	digits int
	value  func(Measures) float64
}

// columns of one scenario; the services give the last ones.
func columns(services []Service) []column {
	made := []column{
		{"imbalance", 2, func(m Measures) float64 { return m.Imbalance }},
		{"churn planned", 2, func(m Measures) float64 { return m.Churn.Planned }},
		{"churn forced", 2, func(m Measures) float64 { return m.Churn.Forced }},
		{"unavailable key-s", 0, func(m Measures) float64 { return float64(m.Unavailable.KeySeconds) }},
		{"leader KB/s", 0, func(m Measures) float64 { return m.Control.Leader() / 1000 }},
		{"cut", 0, func(m Measures) float64 { return float64(m.CutByPlannedStop) }},
	}
	for i, service := range services {
		made = append(made,
			column{service.Name + " p50 ms", 0, func(m Measures) float64 { return m.Services[i].Latency.P50 }},
			column{"p99 ms", 0, func(m Measures) float64 { return m.Services[i].Latency.P99 }},
			column{"answered %", 2, func(m Measures) float64 { return m.Services[i].answeredShare() }},
		)
	}
	return made
}

// answeredShare is the percentage of the finished requests.
func (s Service) answeredShare() float64 {
	return 100 * float64(s.Answered) / float64(max(1, s.Requests-s.Unfinished))
}

// group is the results of one scenario and variant over all seeds.
type group struct {
	scenario, variant string
	results           []Result
}

func groups(results []Result) []group {
	var made []group
	for _, result := range results {
		last := len(made) - 1
		if last < 0 || made[last].scenario != result.Scenario || made[last].variant != result.Variant {
			made = append(made, group{scenario: result.Scenario, variant: result.Variant})
			last++
		}
		made[last].results = append(made[last].results, result)
	}
	return made
}

func (g group) spread(value func(Measures) float64) spread {
	values := make([]float64, 0, len(g.results))
	for _, result := range g.results {
		values = append(values, value(result.Measures))
	}
	return spreadOf(values)
}

// writeTable prints median [lowest-highest] over the seeds.
func writeTable(output io.Writer, results []Result) error {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	scenario := ""
	var shown []column
	for _, each := range groups(results) {
		if each.scenario != scenario {
			scenario = each.scenario
			shown = columns(each.results[0].Measures.Services)
			writeTitles(table, scenario, shown)
		}
		cells := []string{each.variant}
		for _, measure := range shown {
			cells = append(cells, each.spread(measure.value).format(measure.digits))
		}
		cells = append(cells, each.endings())
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

func writeTitles(table io.Writer, scenario string, shown []column) {
	titles := []string{"variant"}
	for _, measure := range shown {
		titles = append(titles, measure.title)
	}
	titles = append(titles, "most frequent endings without an answer")
	fmt.Fprintf(table, "\n%s\n%s\n", scenario, strings.Join(titles, "\t"))
}

// shownEndings is how many ways to end are printed; JSON has all.
const shownEndings = 4

// endings sums the endings of all services; counts are means over the seeds.
func (g group) endings() string {
	totals := map[string]int{}
	for _, result := range g.results {
		for _, service := range result.Measures.Services {
			for _, ended := range service.Endings {
				totals[string(ended.Outcome)+":"+string(ended.Reason)] += ended.Count
			}
		}
	}
	names := make([]string, 0, len(totals))
	for name := range totals {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if totals[a] != totals[b] {
			return totals[b] - totals[a]
		}
		return strings.Compare(a, b)
	})
	var shown []string
	for _, name := range names[:min(len(names), shownEndings)] {
		shown = append(shown, fmt.Sprintf("%s %d", name, totals[name]/len(g.results)))
	}
	return strings.Join(shown, ", ")
}

// writeJSON writes every result of every seed.
func writeJSON(directory string, results []Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return Error.Wrap(err)
	}
	encoded, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(directory, "results.json"), append(encoded, '\n'), 0o644))
}
