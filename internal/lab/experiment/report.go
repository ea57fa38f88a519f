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

func columns() []column {
	return []column{
		{"imbalance", 2, func(m Measures) float64 { return m.Imbalance }},
		{"churn planned", 2, func(m Measures) float64 { return m.Churn.Planned }},
		{"churn forced", 2, func(m Measures) float64 { return m.Churn.Forced }},
		{"unavailable key-s", 0, func(m Measures) float64 { return float64(m.Unavailable.KeySeconds) }},
		{"keyed p50 ms", 1, func(m Measures) float64 { return m.Services[0].Latency.P50 }},
		{"keyed p99 ms", 0, func(m Measures) float64 { return m.Services[0].Latency.P99 }},
		{"keyed answered %", 2, func(m Measures) float64 { return answeredShare(m.Services[0]) }},
		{"pools p99 ms", 0, poolLatency},
		{"pools answered %", 2, poolAnswered},
		{"leader B/s", 0, func(m Measures) float64 { return m.Control.Leader() }},
		{"cut", 0, func(m Measures) float64 { return float64(m.CutByPlannedStop) }},
	}
}

func answeredShare(of Service) float64 {
	return 100 * float64(of.Answered) / float64(max(1, of.Requests))
}

// poolLatency is the highest p99 of the pools with a deadline; a pull lasts as
// long as its list.
func poolLatency(m Measures) float64 {
	highest := 0.0
	for _, of := range m.Services[1:] {
		if of.Latency.P50 < longPull {
			highest = max(highest, of.Latency.P99)
		}
	}
	return highest
}

// longPull in milliseconds tells pulls from short requests.
const longPull = 2000

func poolAnswered(m Measures) float64 {
	lowest := 100.0
	for _, of := range m.Services[1:] {
		if of.Latency.P50 < longPull {
			lowest = min(lowest, answeredShare(of))
		}
	}
	return lowest
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
	for _, each := range groups(results) {
		if each.scenario != scenario {
			scenario = each.scenario
			fmt.Fprintf(table, "\n%s\n", scenario)
			writeTitles(table)
		}
		cells := []string{each.variant}
		for _, shown := range columns() {
			cells = append(cells, each.spread(shown.value).format(shown.digits))
		}
		fmt.Fprintln(table, strings.Join(cells, "\t")+"\t"+each.refusals())
	}
	return table.Flush()
}

func writeTitles(table io.Writer) {
	titles := []string{"variant"}
	for _, shown := range columns() {
		titles = append(titles, shown.title)
	}
	fmt.Fprintln(table, strings.Join(titles, "\t")+"\tmost frequent endings without an answer")
}

// shownEndings is how many ways to end are printed; JSON has all.
const shownEndings = 4

// refusals sums the endings of all services and seeds.
func (g group) refusals() string {
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
