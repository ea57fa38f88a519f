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
	// Steps in their order, with the unavailable time that began in each.
	Steps []StepSummary
	// Imbalance of each service, ordered by name.
	Imbalance []Imbalance
	// Moves of keyed slices after the first assignment, and the slices.
	Moves  int
	Slices int
	// Executions recorded by servers.
	Executions int
	Violations []history.Violation
	// LongestFailing is the longest time in which all requests for a key failed
	// under random faults.
	LongestFailing time.Duration
	// Growth of the processes that lived through random faults.
	Growth []Growth
	// Failures of the steps themselves.
	Failures []error
}

// StepSummary is what happened while one step ran and the cell settled.
type StepSummary struct {
	Name string
	// Begin is on the clock of history.Now.
	Begin       time.Duration
	Unavailable load.Unavailable
}

// spread gives each span to the step in which it began.
func (s *Summary) spread(spans []load.Span) {
	for index := range s.Steps {
		var within []load.Span
		for _, span := range spans {
			afterThis := span.Begin >= s.Steps[index].Begin
			beforeNext := index+1 == len(s.Steps) || span.Begin < s.Steps[index+1].Begin
			if afterThis && beforeNext {
				within = append(within, span)
			}
		}
		s.Steps[index].Unavailable = load.SumUp(within)
	}
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

// rows is a table of names and values.
type rows struct {
	table *tabwriter.Writer
}

func newRows(writer io.Writer) rows {
	const padding = 2
	return rows{tabwriter.NewWriter(writer, 0, 0, padding, ' ', 0)}
}

func (r rows) add(name, format string, values ...any) {
	fmt.Fprintf(r.table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
}

// write writes the table, and as its last line the count of violations.
func (s Summary) write(writer io.Writer) {
	rows := newRows(writer)
	s.writeRequests(rows)
	s.writeCell(rows)
	s.writeTimes(rows)
	_ = rows.table.Flush()
	s.writeFaults(writer)
	fmt.Fprintf(writer, "violations: %d\n", len(s.Violations))
}

func (s Summary) writeRequests(rows rows) {
	rows.add("operations begun", "%d", s.Load.Operations)
	rows.add("operations that succeeded", "%d", s.Load.Succeeded)
	rows.add("operations not begun, too many in flight", "%d", s.Load.NotBegun)
	rows.add("requests", "%d", s.Load.Requests)
	for _, refusal := range s.Load.Refusals {
		rows.add("refused: "+string(refusal.Outcome)+", "+string(refusal.Reason), "%d", refusal.Count)
	}
	rows.add("no gateway at the address", "%d", s.Load.Unreached)
	rows.add("broken off or unanswered", "%d", s.Load.Broken)
	rows.add("slow pulls, whole", "%d of %d", s.Load.WholePulls, s.Load.Pulls)
}

func (s Summary) writeCell(rows rows) {
	for _, imbalance := range s.Imbalance {
		rows.add("imbalance of "+string(imbalance.Service)+", max/mean", "%.2f", imbalance.MaxOverMean)
	}
	rows.add("churn, moves of slices", "%d of %d slices", s.Moves, s.Slices)
	rows.add("executions recorded by servers", "%d", s.Executions)
}

func (s Summary) writeTimes(rows rows) {
	unavailable := s.Load.Unavailable
	rows.add("unavailable time", "%.2f key-seconds over %d keys", unavailable.KeySeconds, unavailable.Keys)
	rows.add("longest time to serve a lost key again", "%s", milliseconds(unavailable.Longest))
	for _, step := range s.Steps {
		rows.add("  "+step.Name, "%.2f key-seconds over %d keys, longest %s",
			step.Unavailable.KeySeconds, step.Unavailable.Keys, milliseconds(step.Unavailable.Longest))
	}
	if s.LongestFailing > 0 {
		rows.add("longest time in which all requests for a key failed", "%s", milliseconds(s.LongestFailing))
	}
	for _, growth := range s.Growth {
		rows.add("  grown: "+growth.Name, "%s", growth)
	}
	rows.add("request latency p50", "%s", milliseconds(s.Load.Latency.P50))
	rows.add("request latency p99", "%s", milliseconds(s.Load.Latency.P99))
	rows.add("operation latency p99, repeats included", "%s", milliseconds(s.Load.OperationLatency.P99))
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
