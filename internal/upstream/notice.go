package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Notice is the information about a worker in the headers of its answer.
type Notice struct {
	// Load is the worker's load if HasLoad is set.
	Load    Load
	HasLoad bool
	// Limit is the limit on requests per second that the worker accepts from all routers together.
	Limit Limit
	// Leaving is set if the worker is leaving. It applies to the rest of the worker's incarnation.
	Leaving bool
	// Backoff is the backoff that the worker requests from this process when it rejects a request.
	Backoff Backoff
}

// parseNotice parses the notice in an answer received at time now. From an answer by another worker
// than the target, only the load is used.
func (h Headers) parseNotice(response *http.Response, target string, now time.Time) Notice {
	var notice Notice
	notice.Load, notice.HasLoad = parseLoad(response.Header.Get(h.Load))
	if answeredBy := response.Header.Get(h.Worker); answeredBy != "" && answeredBy != target {
		return notice
	}
	notice.Limit = parseLimit(response.Header.Values(h.Limit))
	notice.Leaving = ParseLeaving(response.Header.Values(h.Leaving))
	if response.StatusCode == http.StatusServiceUnavailable {
		notice.Backoff = parseBackoff(response.Header, now)
	}
	return notice
}

// Load is the load that a worker reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the worker's current processing time as a multiple of its normal one; zero if the
	// worker does not report it.
	Slowdown float64
}

// HasFreeSlot reports whether the load was reported and the worker has a free slot. If such a
// worker still rejects a request, the reason is not a lack of slots, and it may accept the next
// one.
func (l Load) HasFreeSlot(reported bool) bool {
	return reported && l.Waiting == 0 && l.Running < l.Slots
}

// Fields of a load header. Further ones are ignored.
const (
	loadCountFields = 3
	slowdownField   = loadCountFields
	// normalPercent is the slowdown in percent of a worker at its normal speed.
	normalPercent = 100
)

// parseLoad parses a load header. It returns false if the header is malformed.
func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < loadCountFields {
		return Load{}, false
	}
	var load Load
	for index, into := range []*int{&load.Running, &load.Waiting, &load.Slots} {
		number, err := strconv.Atoi(strings.TrimSpace(parts[index]))
		if err != nil || number < 0 {
			return Load{}, false
		}
		*into = number
	}
	if len(parts) == loadCountFields {
		return load, true
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(parts[slowdownField]), 64)
	if err != nil || !(percent > 0) || math.IsInf(percent, 0) {
		return Load{}, false
	}
	load.Slowdown = percent / normalPercent
	return load, true
}

// Limit is the limit on requests per second that an answer's worker accepts.
type Limit struct {
	Status LimitStatus
	// PerSecond is the limit if Status is Limited.
	PerSecond float64
}

// LimitStatus is whether an answer contains a limit.
type LimitStatus int

const (
	// NoLimit means that the answer contains no limit.
	NoLimit LimitStatus = iota
	// Limited means that the answer contains a valid limit.
	Limited
	// UnreadableLimit means that the answer contains a limit that can't be parsed.
	UnreadableLimit
)

// parseLimit parses the headers that contain a limit. The lowest valid one applies.
func parseLimit(values []string) Limit {
	limit := Limit{}
	if len(values) == 0 {
		return limit
	}
	for _, value := range strings.Split(strings.Join(values, ","), ",") {
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		readable := err == nil && number >= 0 && !math.IsInf(number, 0) // false for NaN
		switch {
		case readable && (limit.Status != Limited || number < limit.PerSecond):
			limit = Limit{Status: Limited, PerSecond: number}
		case !readable && limit.Status == NoLimit:
			limit.Status = UnreadableLimit
		}
	}
	return limit
}

// ParseLeaving reports whether any of the headers states that the worker is leaving. A malformed
// value counts as true, since a worker that is not leaving sends no such header; an empty one does
// not.
func ParseLeaving(values []string) bool {
	for _, value := range values {
		text := strings.TrimSpace(value)
		if leaves, err := strconv.ParseBool(text); text != "" && (err != nil || leaves) {
			return true
		}
	}
	return false
}

// Backoff is a worker's request that a process send it no requests for some time.
type Backoff struct {
	Status BackoffStatus
	// Duration counts from the arrival of the answer.
	Duration time.Duration
}

// BackoffStatus is whether a worker requests a backoff.
type BackoffStatus int

const (
	// NoBackoff means that the answer requests no backoff.
	NoBackoff BackoffStatus = iota
	// BackoffRequested means that the answer requests a backoff.
	BackoffRequested
	// UnreadableBackoff means that the answer requests a backoff that can't be parsed.
	UnreadableBackoff
)

const (
	retryAfterHeader = "Retry-After"
	dateHeader       = "Date"
	// maxBackoff is the maximum backoff; a longer one is treated as unreadable.
	maxBackoff = 24 * time.Hour
)

// parseBackoff parses the Retry-After headers, which contain seconds or a date. The longest valid
// backoff applies.
func parseBackoff(header http.Header, now time.Time) Backoff {
	backoff := Backoff{}
	for _, value := range header.Values(retryAfterHeader) {
		wait, readable := parseRetryAfter(strings.TrimSpace(value), header.Get(dateHeader), now)
		switch {
		case readable && (backoff.Status != BackoffRequested || wait > backoff.Duration):
			backoff = Backoff{Status: BackoffRequested, Duration: wait}
		case !readable && backoff.Status == NoBackoff:
			backoff.Status = UnreadableBackoff
		}
	}
	return backoff
}

// parseRetryAfter parses a Retry-After value. It returns false if the value is malformed or too
// long. A date is relative to the answer's Date header, since the worker's clock may differ.
func parseRetryAfter(text, answerDate string, now time.Time) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds >= 0 && seconds <= maxBackoff.Seconds()) { // the comparison is false for NaN
			return 0, false
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	if date, err := http.ParseTime(answerDate); err == nil {
		now = date
	}
	wait := max(0, until.Sub(now))
	return wait, wait <= maxBackoff
}
