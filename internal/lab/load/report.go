package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shalefork/shalefork/internal/wire"
)

// Report is what the callers saw, all together.
type Report struct {
	// Operations begun, Succeeded, and NotBegun because too many were in flight.
	Operations int `json:"operations"`
	Succeeded  int `json:"succeeded"`
	NotBegun   int `json:"not_begun"`
	// Requests sent for them, the repeated ones included.
	Requests int `json:"requests"`
	// Refusals by outcome and reason, ordered by count.
	Refusals []Refusal `json:"refusals"`
	// Unreached requests found nothing listening at a gateway's address.
	Unreached int `json:"unreached"`
	// Broken requests got no answer or a part of one.
	Broken int `json:"broken"`
	// Pulls begun and pulled whole.
	Pulls      int `json:"pulls"`
	WholePulls int `json:"whole_pulls"`
	// Latency of requests that succeeded, and of operations from the time that
	// the caller wanted to begin.
	Latency          Latency     `json:"latency"`
	OperationLatency Latency     `json:"operation_latency"`
	Unavailable      Unavailable `json:"unavailable"`
}

// Refusal counts refusals of one kind.
type Refusal struct {
	Outcome wire.Outcome `json:"outcome"`
	Reason  wire.Reason  `json:"reason"`
	Count   int          `json:"count"`
}

// Latency holds percentiles.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// Bounds of the histograms.
const (
	lowestLatency     = int64(10 * time.Microsecond)
	highestLatency    = int64(time.Minute)
	significantDigits = 3
)

// outcome is a kind of refusal.
type outcome struct {
	outcome wire.Outcome
	reason  wire.Reason
}

// reporter gathers a Report. It is safe for concurrent use.
type reporter struct {
	mu         sync.Mutex
	report     Report
	refusals   map[outcome]int
	requests   *hdrhistogram.Histogram
	operations *hdrhistogram.Histogram
	follower   *spanFollower
}

func newReporter() *reporter {
	return &reporter{
		refusals:   map[outcome]int{},
		requests:   hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		operations: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		follower:   newSpanFollower(),
	}
}

func (r *reporter) notBegun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.NotBegun++
}

// attempted counts one request.
func (r *reporter) attempted(made attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if made.unreached {
		r.report.Unreached++
		return
	}
	switch {
	case made.succeeded():
		if made.operation.pull.Bytes == 0 {
			record(r.requests, made.answered.Sub(made.sent))
		}
	case made.call.Outcome != "":
		r.refusals[outcome{made.call.Outcome, made.call.Reason}]++
	default:
		r.report.Broken++
	}
	r.follower.follow(made.call)
}

// finished counts one operation.
func (r *reporter) finished(operation operation, last attempt, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Operations++
	if operation.pull.Bytes > 0 {
		r.report.Pulls++
	}
	if !succeeded {
		return
	}
	r.report.Succeeded++
	if operation.pull.Bytes > 0 {
		r.report.WholePulls++
		return
	}
	record(r.operations, last.answered.Sub(operation.scheduled))
}

func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(int64(d), lowestLatency), highestLatency))
}

// finish sums up. Keys that still fail do so until now.
func (r *reporter) finish(now time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Unavailable = SumUp(r.follower.finish(now))
	r.report.Latency = latencyOf(r.requests)
	r.report.OperationLatency = latencyOf(r.operations)
	for kind, count := range r.refusals {
		r.report.Refusals = append(r.report.Refusals, Refusal{kind.outcome, kind.reason, count})
	}
	slices.SortFunc(r.report.Refusals, func(a, b Refusal) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
	return r.report
}

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		P50: time.Duration(histogram.ValueAtQuantile(50)),
		P99: time.Duration(histogram.ValueAtQuantile(99)),
		Max: time.Duration(histogram.Max()),
	}
}
