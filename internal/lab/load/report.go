package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shalefork/shalefork/internal/keyspace"
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
	// Broken requests got no answer or a part of one.
	Broken int `json:"broken"`
	// Pulls begun and pulled whole.
	Pulls      int `json:"pulls"`
	WholePulls int `json:"whole_pulls"`
	// Latency of requests that succeeded, and of operations from the time that
	// the caller wanted to begin.
	Latency          Latency `json:"latency"`
	OperationLatency Latency `json:"operation_latency"`
	// UnavailableKeySeconds adds up, over all keys, the time from a failed
	// request to the next that succeeded.
	UnavailableKeySeconds float64 `json:"unavailable_key_seconds"`
	// LongestUnavailable is the longest such time of one key.
	LongestUnavailable time.Duration `json:"longest_unavailable"`
	// UnavailableKeys is how many keys had such a time.
	UnavailableKeys int `json:"unavailable_keys"`
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

// serviceKey is a key of one service.
type serviceKey struct {
	service keyspace.ServiceName
	key     string
}

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
	// failing has the keys that fail, since when.
	failing map[serviceKey]time.Duration
	// lost has the keys that ever failed.
	lost map[serviceKey]bool
}

func newReporter() *reporter {
	return &reporter{
		refusals:   map[outcome]int{},
		requests:   hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		operations: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		failing:    map[serviceKey]time.Duration{},
		lost:       map[serviceKey]bool{},
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
	if made.call.Key != "" {
		r.follow(made)
	}
}

// follow keeps the times in which a key is not served.
func (r *reporter) follow(made attempt) {
	key := serviceKey{made.call.Service, made.call.Key}
	since, failing := r.failing[key]
	if !made.succeeded() {
		if !failing {
			r.failing[key] = made.call.Sent
			r.lost[key] = true
		}
		return
	}
	// An answer to a request from before the failure does not end it.
	if failing && made.call.Sent >= since {
		r.addUnavailable(made.call.Answered - since)
		delete(r.failing, key)
	}
}

func (r *reporter) addUnavailable(d time.Duration) {
	r.report.UnavailableKeySeconds += d.Seconds()
	r.report.LongestUnavailable = max(r.report.LongestUnavailable, d)
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

// finish closes the times of keys that still fail at now and sums up.
func (r *reporter) finish(now time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, since := range r.failing {
		r.addUnavailable(now - since)
	}
	r.report.UnavailableKeys = len(r.lost)
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
