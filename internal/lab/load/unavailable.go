package load

import (
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/history"
)

// slowAnswer is how long an answer takes at least for its key to count as
// unavailable meanwhile. A gateway holds requests while a key has no owner, so
// failures alone would hide most of that time.
const slowAnswer = 100 * time.Millisecond

// Span is a time in which a key was not served, as callers saw it: from a
// request that failed or took slowAnswer, or from the key's last answer if that
// came later, to the next answer for the key.
type Span struct {
	Service keyspace.ServiceName
	Key     string
	// Begin and End are on the clock of history.Now.
	Begin time.Duration
	End   time.Duration
}

// Length of the span.
func (s Span) Length() time.Duration {
	return s.End - s.Begin
}

// Unavailable sums up spans.
type Unavailable struct {
	// KeySeconds adds up the spans of all keys.
	KeySeconds float64 `json:"key_seconds"`
	// Longest span of one key.
	Longest time.Duration `json:"longest"`
	// Keys that had a span.
	Keys int `json:"keys"`
}

// SumUp sums up spans.
func SumUp(spans []Span) Unavailable {
	var sum Unavailable
	keys := map[serviceKey]bool{}
	for _, span := range spans {
		sum.KeySeconds += span.Length().Seconds()
		sum.Longest = max(sum.Longest, span.Length())
		keys[serviceKey{span.Service, span.Key}] = true
	}
	sum.Keys = len(keys)
	return sum
}

// Spans returns the spans in calls, which are in the order of their ends. Keys
// that still fail do so until now.
func Spans(calls []history.Call, now time.Duration) []Span {
	follower := newSpanFollower()
	for _, call := range calls {
		follower.follow(call)
	}
	return follower.finish(now)
}

// serviceKey is a key of one service.
type serviceKey struct {
	service keyspace.ServiceName
	key     string
}

// keyTimes is what is known of one key, on the clock of history.Now.
type keyTimes struct {
	// lastAnswer is when the key was last served.
	lastAnswer time.Duration
	// failing says that requests have failed since failingSince.
	failing      bool
	failingSince time.Duration
}

// spanFollower finds the spans of all keys. It is not safe for concurrent use.
type spanFollower struct {
	keys  map[serviceKey]*keyTimes
	order []serviceKey
	spans []Span
}

func newSpanFollower() *spanFollower {
	return &spanFollower{keys: map[serviceKey]*keyTimes{}}
}

// follow takes the end of one request. Those without a key, and slow pulls,
// say nothing about a key.
func (f *spanFollower) follow(call history.Call) {
	if call.Key == "" || strings.HasPrefix(string(call.Nonce), pullNonce) {
		return
	}
	id := serviceKey{call.Service, call.Key}
	times := f.timesOf(id)
	begin := max(call.Sent, times.lastAnswer)
	if times.failing {
		begin = min(begin, times.failingSince)
	}
	if !succeeded(call) {
		times.failing = true
		times.failingSince = begin
		return
	}
	if times.failing || call.Answered-call.Sent >= slowAnswer {
		f.add(id, begin, call.Answered)
	}
	times.failing = false
	times.lastAnswer = max(times.lastAnswer, call.Answered)
}

func (f *spanFollower) timesOf(id serviceKey) *keyTimes {
	times, known := f.keys[id]
	if !known {
		times = &keyTimes{}
		f.keys[id] = times
		f.order = append(f.order, id)
	}
	return times
}

// add adds a span. It is empty if another answer for the key came meanwhile.
func (f *spanFollower) add(id serviceKey, begin, end time.Duration) {
	if end > begin {
		f.spans = append(f.spans, Span{Service: id.service, Key: id.key, Begin: begin, End: end})
	}
}

// finish ends the spans of keys that still fail at now.
func (f *spanFollower) finish(now time.Duration) []Span {
	for _, id := range f.order {
		if times := f.keys[id]; times.failing {
			f.add(id, times.failingSince, now)
		}
	}
	return f.spans
}
