package quarantine

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// cutMemory is how long after a send broke off its worker may be seen to have ended: a
	// connection to its address is refused within milliseconds, and one that was given up may
	// run for a while still.
	cutMemory = time.Second
	// mostCut bounds the sends that are remembered of one worker, which are the last ones; it has
	// fewer slots.
	mostCut = 64
)

// Run is a run of a request for a caller.
type CallerRequest struct {
	Request Fingerprint `json:"f"`
	Caller  netip.Addr  `json:"c,omitzero"`
}

// Attempt is one try of a request, as operators look for it.
type Attempt struct {
	Request Fingerprint `json:"f"`
	// ID of the attempt, the Route that it took, and its Caller.
	ID     string     `json:"i,omitempty"`
	Route  string     `json:"r,omitempty"`
	Caller netip.Addr `json:"c,omitzero"`
}

// run returns whose request the attempt runs.
func (a Attempt) run() CallerRequest { return CallerRequest{Request: a.Request, Caller: a.Caller} }

// own returns the attempt as one of its caller's own request.
func (a Attempt) own() Attempt {
	a.Request = a.Request.ForCaller(a.Caller)
	return a
}

// Witness is what one process saw of the end of one worker: whether it crashed, and which
// requests were under way there. Its zero value has seen nothing.
type CrashObserver struct {
	cut     []cutOff
	endedAt time.Time
}

// cutOff is a send that ended without an answer.
type cutOff struct {
	attempt Attempt
	at      time.Time
}

// CutOff notes a request that was sent and got no whole answer. It reports whether the worker
// is known to have ended just then, so that its end cut the request off.
func (w *CrashObserver) RecordInterrupted(now time.Time, attempt Attempt) bool {
	if !w.endedAt.IsZero() {
		return now.Sub(w.endedAt) < cutMemory
	}
	w.forget(now)
	if len(w.cut) == mostCut {
		w.cut = slices.Delete(w.cut, 0, 1)
	}
	w.cut = append(w.cut, cutOff{attempt: attempt, at: now})
	return false
}

// Ended notes that the worker has ended; first is false if that was known. It returns the
// requests that its end cut off, each once for each caller.
func (w *CrashObserver) RecordEnd(now time.Time) (attempts []Attempt, first bool) {
	if !w.endedAt.IsZero() {
		return nil, false
	}
	w.endedAt = now
	w.forget(now)
	seen := map[CallerRequest]bool{}
	for _, one := range w.cut {
		if !seen[one.attempt.run()] {
			seen[one.attempt.run()] = true
			attempts = append(attempts, one.attempt)
		}
	}
	w.cut = nil
	return attempts, true
}

// forget drops sends that broke off too long ago to have to do with an end now.
func (w *CrashObserver) forget(now time.Time) {
	w.cut = slices.DeleteFunc(w.cut, func(one cutOff) bool { return now.Sub(one.at) >= cutMemory })
}
