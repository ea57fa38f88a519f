package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Notice is what an answer says of the worker that made it.
type Notice struct {
	// Load is the worker's, if Loaded.
	Load    Load
	HasLoad bool
	// Limit is of the requests a second that the worker takes from all routers together.
	Limit Limit
	// Leaving says that the worker leaves, for as long as this life of it lasts.
	Leaving bool
	// Backoff is what a worker asks of this process that has turned its request away.
	Backoff Backoff
}

// notice reads what an answer says of its worker, as of a time. Load apart, an answer by another worker
// than the one that was meant says nothing.
func (h Headers) notice(response *http.Response, target string, now time.Time) Notice {
	var notice Notice
	notice.Load, notice.HasLoad = parseLoad(response.Header.Get(h.Load))
	if named := response.Header.Get(h.Worker); named != "" && named != target {
		return notice
	}
	notice.Limit = parseLimit(response.Header.Values(h.Limit))
	notice.Leaving = ParseLeaving(response.Header.Values(h.Leaving))
	if response.StatusCode == http.StatusServiceUnavailable {
		notice.Backoff = parseBackoff(response.Header, now)
	}
	return notice
}

// Load is what a worker tells of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes there at this moment, as a multiple of what is
	// usual; zero if the worker does not tell it.
	Slowdown float64
}

// Idle reports whether a worker that told its load has a slot to spare. One that turns a request
// away all the same is short of something else than room, and may take the next one.
func (l Load) HasFreeSlot(told bool) bool { return told && l.Waiting == 0 && l.Running < l.Slots }

// Parts of a load header. Further ones are passed over.
const (
	loadCounts   = 3
	slowdownPart = loadCounts
	// usualPercent is the slowdown of a worker at its usual pace.
	usualPercent = 100
)

// parseLoad reads a load header; false if it can't be read.
func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < loadCounts {
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
	if len(parts) == loadCounts {
		return load, true
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(parts[slowdownPart]), 64)
	if err != nil || !(percent > 0) || math.IsInf(percent, 0) {
		return Load{}, false
	}
	load.Slowdown = percent / usualPercent
	return load, true
}

// Limit is what an answer says of the requests a second that its worker takes.
type Limit struct {
	Status LimitStatus
	// PerSecond is the limit, if one is named.
	PerSecond float64
}

// Naming says whether an answer names a limit.
type LimitStatus int

// Ways to name a limit, or not to.
const (
	// NoLimit: the answer names none.
	NoLimit LimitStatus = iota
	// Limited: it names one.
	Limited
	// UnreadableLimit: it names one that can't be read.
	UnreadableLimit
)

// parseLimit reads the headers that name a limit. Of several the lowest that can be read counts.
func parseLimit(values []string) Limit {
	limit := Limit{}
	if len(values) == 0 {
		return limit
	}
	for _, value := range strings.Split(strings.Join(values, ","), ",") {
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		readable := err == nil && number >= 0 && !math.IsInf(number, 0) // false for what is not a number
		switch {
		case readable && (limit.Status != Limited || number < limit.PerSecond):
			limit = Limit{Status: Limited, PerSecond: number}
		case !readable && limit.Status == NoLimit:
			limit.Status = UnreadableLimit
		}
	}
	return limit
}

// ParseLeaving reports whether any of the headers says that the worker leaves. What can't be read
// counts as that: a worker that does not leave sends none.
func ParseLeaving(values []string) bool {
	for _, value := range values {
		text := strings.TrimSpace(value)
		if leaves, err := strconv.ParseBool(text); text != "" && (err != nil || leaves) {
			return true
		}
	}
	return false
}

// Backoff is for how long a worker asks a process to send it nothing.
type Backoff struct {
	Status BackoffStatus
	// For is counted from when the answer came.
	Duration time.Duration
}

// Asking says whether a worker asks for a backoff.
type BackoffStatus int

// Ways to ask for a backoff, or not to.
const (
	// NoBackoff: the answer asks for none.
	NoBackoff BackoffStatus = iota
	// BackoffRequested: it asks for one.
	BackoffRequested
	// UnreadableBackoff: it asks for one that can't be read.
	UnreadableBackoff
)

const (
	retryAfterHeader = "Retry-After"
	dateHeader       = "Date"
	// longestBackoff is the longest that is taken for what a worker means.
	longestBackoff = 24 * time.Hour
)

// parseBackoff reads the headers that ask for a backoff, in seconds or as a date. Of several the longest
// that can be read counts.
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

// parseRetryAfter reads a time to wait; false if it can't be read. A date counts from that of the
// answer, since the worker's clock may differ.
func parseRetryAfter(text, answered string, now time.Time) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds >= 0 && seconds <= longestBackoff.Seconds()) { // false for what is not a number
			return 0, false
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	if date, err := http.ParseTime(answered); err == nil {
		now = date
	}
	wait := max(0, until.Sub(now))
	return wait, wait <= longestBackoff
}
