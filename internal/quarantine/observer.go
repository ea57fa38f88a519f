package quarantine

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// interruptedRetention is how long after an attempt was interrupted the end of its worker may be
	// detected: a connection to its address is refused within milliseconds, and an attempt that was
	// given up may still run for a while.
	interruptedRetention = time.Second
	// maxInterrupted bounds the attempts that are remembered for one worker, which are the latest
	// ones. A worker has fewer slots.
	maxInterrupted = 64
)

// CallerRequest identifies a request as one caller sends it.
type CallerRequest struct {
	Request Fingerprint `json:"f"`
	Caller  netip.Addr  `json:"c,omitzero"`
}

// Attempt is one attempt of a request, with what operators identify it by.
type Attempt struct {
	Request Fingerprint `json:"f"`
	// ID is that of the attempt, and Route and Caller are those of its request.
	ID     string     `json:"i,omitempty"`
	Route  string     `json:"r,omitempty"`
	Caller netip.Addr `json:"c,omitzero"`
}

// callerRequest returns the request of the attempt, as its caller sends it.
func (a Attempt) callerRequest() CallerRequest {
	return CallerRequest{Request: a.Request, Caller: a.Caller}
}

// perCaller returns the attempt with the fingerprint of the request as its caller sends it.
func (a Attempt) perCaller() Attempt {
	a.Request = a.Request.ForCaller(a.Caller)
	return a
}

// CrashObserver collects what one process observes of the end of one worker: whether it has ended,
// and which requests were in progress there. Its zero value has observed nothing.
type CrashObserver struct {
	interrupted []interruptedAttempt
	endedAt     time.Time
}

// interruptedAttempt is an attempt that ended without a complete response.
type interruptedAttempt struct {
	attempt Attempt
	at      time.Time
}

// RecordInterrupted records an attempt that got no complete response. It reports whether the worker
// is known to have ended at about that time, so that its end interrupted the attempt.
func (o *CrashObserver) RecordInterrupted(now time.Time, attempt Attempt) bool {
	if !o.endedAt.IsZero() {
		return now.Sub(o.endedAt) < interruptedRetention
	}
	o.forget(now)
	if len(o.interrupted) == maxInterrupted {
		o.interrupted = slices.Delete(o.interrupted, 0, 1)
	}
	o.interrupted = append(o.interrupted, interruptedAttempt{attempt: attempt, at: now})
	return false
}

// RecordEnd records that the worker has ended; first is false if that was already known. It returns
// the attempts that its end interrupted, one for each request and caller.
func (o *CrashObserver) RecordEnd(now time.Time) (attempts []Attempt, first bool) {
	if !o.endedAt.IsZero() {
		return nil, false
	}
	o.endedAt = now
	o.forget(now)
	seen := map[CallerRequest]bool{}
	for _, interrupted := range o.interrupted {
		if !seen[interrupted.attempt.callerRequest()] {
			seen[interrupted.attempt.callerRequest()] = true
			attempts = append(attempts, interrupted.attempt)
		}
	}
	o.interrupted = nil
	return attempts, true
}

// forget drops attempts that were interrupted too long ago to be related to an end of the worker
// now.
func (o *CrashObserver) forget(now time.Time) {
	o.interrupted = slices.DeleteFunc(o.interrupted, func(one interruptedAttempt) bool { return now.Sub(one.at) >= interruptedRetention })
}
