package quarantine

import (
	"net/netip"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// crashThreshold is how many workers a request crashes before it is quarantined. One crash may
	// be a coincidence, and so may two where there are many requests; the users' platform allows
	// three.
	crashThreshold = 3
	// clusterWindow is the time within which crashes form a cluster: they may have a shared cause (a
	// rack, a zone, an address). Routers report a crash within half a second.
	clusterWindow = time.Second
	// suspectRetention is how long a crash counts against a request that is not quarantined. Callers
	// that retry do so within seconds; two crashes an hour apart are a coincidence.
	suspectRetention = 10 * time.Minute
	// quarantineDuration is how long a request stays quarantined unless an operator lifts it: the
	// users' platform counts what is sent within a day.
	quarantineDuration = 24 * time.Hour
	// clearedRetention is how long it is remembered that a suspect was cleared: evidence against it
	// may still be in transit.
	clearedRetention = time.Minute
	// maxAgeError is the largest difference between the times that processes have of one event:
	// times are sent as ages, to which the latency of messages is added.
	maxAgeError = time.Second
)

// Standing says whether and how a request may be sent.
type Standing int

// Standings of requests.
const (
	// Unsuspected: no crash counts against it.
	Unsuspected Standing = iota
	// Suspect: it was in progress at a worker that crashed, and has not succeeded since. It may be
	// sent, but to one worker at a time.
	Suspect
	// Quarantined: it may not be sent to any worker.
	Quarantined
)

// Crash is the crash of a worker at which a request was in progress.
type Crash struct {
	Worker workers.ID
	// StartTime distinguishes the incarnations of a worker that restarts under its ID: the crash of
	// each counts.
	StartTime workers.StartTime
	// Caller is the one whose request was in progress.
	Caller netip.Addr
	At     time.Time
}

// incarnation returns the incarnation of the worker that crashed.
func (c Crash) incarnation() workers.Incarnation {
	return workers.Incarnation{ID: c.Worker, StartTime: c.StartTime}
}

// same reports whether both are the same crash, with a request of the same caller in progress. Their
// times may differ by the latency of messages.
func (c Crash) same(other Crash) bool {
	return c.incarnation() == other.incarnation() && c.Caller == other.Caller
}

// Record is what is known about a request. Records can be merged in any order. Crashes from before
// the request was cleared or lifted no longer count.
type Record struct {
	// Attempt is one of the attempts that were in progress at a crash, usually the latest known.
	Attempt Attempt
	// OnlyCaller is the caller whose requests the record is about; zero: those of all callers.
	OnlyCaller netip.Addr
	// Crashes are those of different workers, or with requests of different callers, sorted by time.
	Crashes []Crash
	// QuarantinedAt is when the request was last quarantined; zero: never. IsolatedAt is when it was
	// found that its workers crashed within one cluster, and no others did; zero: never.
	QuarantinedAt, IsolatedAt time.Time
	// ClearedAt is when the request last succeeded; zero: never. LiftedAt is when an operator lifted
	// it: earlier crashes count against none of its callers.
	ClearedAt, LiftedAt time.Time
}

// Standing returns whether and how the request may be sent.
func (r Record) Standing() Standing {
	switch {
	case len(r.Crashes) == 0:
		return Unsuspected
	case r.isQuarantined():
		return Quarantined
	}
	return Suspect
}

// isQuarantined reports whether the counted crashes show that the request crashes its workers.
func (r Record) isQuarantined() bool {
	if !r.reachedCrashThreshold() {
		return false
	}
	return r.crashClusters() > 1 || (!r.IsolatedAt.IsZero() && !r.isCleared(r.IsolatedAt))
}

// isCleared reports whether a crash at a time no longer counts against the request.
func (r Record) isCleared(at time.Time) bool { return r.isLifted(at) || mayPrecede(at, r.ClearedAt) }

// isLifted reports whether a crash at a time counts against no caller's request.
func (r Record) isLifted(at time.Time) bool { return mayPrecede(at, r.LiftedAt) }

// mayPrecede reports whether a time may be before that of an event, which is zero if the event never
// happened.
func mayPrecede(at, event time.Time) bool {
	return !event.IsZero() && !at.After(event.Add(maxAgeError))
}

// ExpiresAt returns when the record expires. That a quarantine was lifted is remembered for as long
// as some process may know only of the quarantine.
func (r Record) ExpiresAt() time.Time {
	switch {
	case !r.QuarantinedAt.IsZero():
		return r.QuarantinedAt.Add(quarantineDuration)
	case len(r.Crashes) > 0:
		return r.lastCrashAt().Add(suspectRetention)
	}
	return r.clearedOrLiftedAt().Add(clearedRetention)
}

// clearedOrLiftedAt returns when the request was last cleared or lifted.
func (r Record) clearedOrLiftedAt() time.Time {
	if r.LiftedAt.After(r.ClearedAt) {
		return r.LiftedAt
	}
	return r.ClearedAt
}

// lastCrashAt returns the time of the last counted crash.
func (r Record) lastCrashAt() time.Time { return r.Crashes[len(r.Crashes)-1].At }

// add adds a crash; false if it is already known or cleared.
func (r *Record) add(crash Crash) bool {
	if r.isCleared(crash.At) || slices.ContainsFunc(r.Crashes, crash.same) {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortStableFunc(r.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return true
}

// clear records that the request succeeded at a time, and returns the crashes that no longer count.
func (r *Record) clear(at time.Time) []Crash {
	r.ClearedAt = at
	return r.removeCleared()
}

// lift records that an operator lifted the request at a time.
func (r *Record) lift(at time.Time) {
	r.LiftedAt = at
	r.removeCleared()
}

func (r *Record) removeCleared() []Crash {
	var cleared []Crash
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool {
		if r.isCleared(crash.At) {
			cleared = append(cleared, crash)
		}
		return r.isCleared(crash.At)
	})
	return cleared
}

// merge adds another process's record of the request. It reports whether that added information.
func (r *Record) merge(other Record) bool {
	changed := r.missesDecision(other)
	if isLater(other.ClearedAt, r.ClearedAt) {
		r.clear(other.ClearedAt)
	}
	if isLater(other.LiftedAt, r.LiftedAt) {
		r.lift(other.LiftedAt)
	}
	if isLater(other.QuarantinedAt, r.QuarantinedAt) {
		r.QuarantinedAt = other.QuarantinedAt
	}
	if isLater(other.IsolatedAt, r.IsolatedAt) {
		r.IsolatedAt = other.IsolatedAt
	}
	for _, crash := range other.Crashes {
		if r.add(crash) {
			r.Attempt = other.Attempt
			changed = true
		}
	}
	return changed
}

// missesDecision reports whether another record contains a later decision on the request.
func (r *Record) missesDecision(other Record) bool {
	return isLater(other.ClearedAt, r.ClearedAt) || isLater(other.LiftedAt, r.LiftedAt) || isLater(other.QuarantinedAt, r.QuarantinedAt)
}

// mustReport reports whether this record must be reported to a leader that has published the other
// one: it was quarantined and contains a later decision, it clears a request that the leader
// suspects, or it has more crashes than the leader knows, which has not quarantined the request. A
// record with a single crash need not be reported: if a leader has lost it, that costs no more than
// one worker.
func (r Record) mustReport(leader Record) bool {
	switch {
	case !r.QuarantinedAt.IsZero() && leader.missesDecision(r):
		return true
	case leader.Standing() != Unsuspected && isLater(r.ClearedAt, leader.ClearedAt):
		return true
	case leader.Standing() == Quarantined:
		return false
	}
	crashes := len(r.crashTimes())
	return crashes > 1 && crashes > len(leader.crashTimes())
}

// isLater reports whether an event is later than another by more than the error of ages. Zero is
// before all other times.
func isLater(event, other time.Time) bool {
	if event.IsZero() {
		return false
	}
	return other.IsZero() || event.Sub(other) > maxAgeError
}

// crashTimes returns when each of the request's workers crashed, sorted.
func (r Record) crashTimes() []time.Time {
	var times []time.Time
	seen := make(map[workers.Incarnation]bool, len(r.Crashes))
	for _, crash := range r.Crashes {
		if !seen[crash.incarnation()] {
			seen[crash.incarnation()] = true
			times = append(times, crash.At)
		}
	}
	return times
}

func (r Record) reachedCrashThreshold() bool {
	return len(r.Crashes) >= crashThreshold && len(r.crashTimes()) >= crashThreshold
}

// crashClusters counts the clusters of the crashes of the request's workers. A cluster ends
// clusterWindow after its first crash, so that a steady series of crashes forms many.
func (r Record) crashClusters() int {
	count := 0
	var clusterStart time.Time
	for _, crashedAt := range r.crashTimes() {
		if count == 0 || crashedAt.Sub(clusterStart) >= clusterWindow {
			count++
			clusterStart = crashedAt
		}
	}
	return count
}

// markQuarantined sets QuarantinedAt if the request has become quarantined. It reports whether it
// has.
func (r *Record) markQuarantined(now time.Time) bool {
	if !r.isQuarantined() || (!r.QuarantinedAt.IsZero() && !r.isCleared(r.QuarantinedAt)) {
		return false
	}
	r.QuarantinedAt = now
	return true
}

func (r *Record) clone() Record {
	clone := *r
	clone.Crashes = slices.Clone(r.Crashes)
	return clone
}
