package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
)

// Summary is what a demonstration found.
type Summary struct {
	Load load.Report
	// Imbalance of each service, ordered by name.
	Imbalance []Imbalance
	// Moves of keyed slices after the first assignment, and the slices.
	Moves  int
	Slices int
	// Executions recorded by servers.
	Executions int
	Violations []history.Violation
	// Failures of the steps themselves.
	Failures []error
}

// Imbalance says how unevenly a service's work was spread.
type Imbalance struct {
	Service keyspace.ServiceName
	// MaxOverMean is the busiest server's share of the mean; 1 is even.
	MaxOverMean float64
}

// succeeded reports whether something was served, every step worked and no
// rule was broken.
func (s Summary) succeeded() bool {
	return s.Load.Succeeded > 0 && len(s.Violations) == 0 && len(s.Failures) == 0
}

// imbalances counts the executions of each server. Servers that ran nothing
// count with zero, also those that a fault took away.
func imbalances(rolled bundle.Bundle, executions []history.Execution) []Imbalance {
	runs := map[bundle.ServerName]int{}
	for _, execution := range executions {
		runs[execution.Server]++
	}
	var found []Imbalance
	for _, service := range rolled.Services {
		sum, most := 0, 0
		for _, backend := range service.Backends {
			ran := runs[rolled.ServerName(service, backend)]
			sum += ran
			most = max(most, ran)
		}
		mean := float64(sum) / float64(len(service.Backends))
		if sum > 0 {
			found = append(found, Imbalance{rolled.ServiceName(service), float64(most) / mean})
		}
	}
	return found
}

// maxShown bounds the violations that are written out.
const maxShown = 10

// write writes the table, and as its last line the count of violations.
func (s Summary) write(writer io.Writer) {
	const padding = 2
	table := tabwriter.NewWriter(writer, 0, 0, padding, ' ', 0)
	report := s.Load
	row := func(name, format string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("operations begun", "%d", report.Operations)
	row("operations that succeeded", "%d", report.Succeeded)
	row("operations not begun, too many in flight", "%d", report.NotBegun)
	row("requests", "%d", report.Requests)
	for _, refusal := range report.Refusals {
		row("refused: "+string(refusal.Outcome)+", "+string(refusal.Reason), "%d", refusal.Count)
	}
	row("broken off or unanswered", "%d", report.Broken)
	row("slow pulls, whole", "%d of %d", report.WholePulls, report.Pulls)
	for _, imbalance := range s.Imbalance {
		row("imbalance of "+string(imbalance.Service)+", max/mean", "%.2f", imbalance.MaxOverMean)
	}
	row("churn, moves of slices", "%d of %d slices", s.Moves, s.Slices)
	row("unavailable time", "%.2f key-seconds over %d keys", report.UnavailableKeySeconds, report.UnavailableKeys)
	row("longest time to serve a lost key again", "%s", milliseconds(report.LongestUnavailable))
	row("request latency p50", "%s", milliseconds(report.Latency.P50))
	row("request latency p99", "%s", milliseconds(report.Latency.P99))
	row("operation latency p99, repeats included", "%s", milliseconds(report.OperationLatency.P99))
	row("executions recorded by servers", "%d", s.Executions)
	_ = table.Flush()
	s.writeFaults(writer)
	fmt.Fprintf(writer, "violations: %d\n", len(s.Violations))
}

func (s Summary) writeFaults(writer io.Writer) {
	for _, failure := range s.Failures {
		fmt.Fprintln(writer, "failed:", failure)
	}
	for index, violation := range s.Violations {
		if index == maxShown {
			fmt.Fprintf(writer, "and %d more violations\n", len(s.Violations)-maxShown)
			return
		}
		fmt.Fprintf(writer, "violation: %s: %s: %s\n", violation.Rule, violation.Subject, violation.Detail)
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
