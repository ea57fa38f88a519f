package quarantine

import (
	"net/netip"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// mostCrashes is how many workers a request may crash before it is quarantined. One crash
	// may be chance, and so may two where requests are many; the users' platform allows three.
	mostCrashes = 3
	// sameMoment: workers that end within it may have ended together, for a reason that they
	// share (a rack, a zone, an address). Routers report a crash within half a second.
	sameMoment = time.Second
	// suspectMemory is for how long a crash is held against a request that is not quarantined.
	// Callers who come again do so within seconds; two crashes an hour apart are chance.
	suspectMemory = 10 * time.Minute
	// holdTime is for how long a request stays in quarantine unless an operator lifts it: the
	// users' platform counts what is sent within a day.
	holdTime = 24 * time.Hour
	// clearedMemory is for how long it is remembered that a suspect was cleared: what speaks
	// against it may still be on its way.
	clearedMemory = time.Minute
	// agesOff is by how much the times of one event differ between processes at most: they are
	// told as ages, which grow on their way.
	agesOff = time.Second
)

// Standing says how a request may be sent.
type Standing int

// Standings of requests.
const (
	// Free: nothing speaks against it.
	Unsuspected Standing = iota
	// Suspect: it was under way at a worker that crashed, and no run has ended well since. It
	// may be sent, but to one worker at a time.
	Suspect
	// Quarantined: it may not be sent.
	Quarantined
)

// Crash is a worker's end with a request under way.
type Crash struct {
	Worker workers.ID
	// Born tells the lives of a worker apart that starts again under its ID: each crash counts.
	Born workers.StartTime
	// Caller had asked for what was under way.
	Caller netip.Addr
	At     time.Time
}

// life returns the life of the worker that crashed.
func (c Crash) life() workers.Incarnation {
	return workers.Incarnation{ID: c.Worker, StartTime: c.Born}
}

// same reports whether two crashes are one, with the request of the same caller under way. Their
// times may differ by what messages took.
func (c Crash) same(other Crash) bool { return c.life() == other.life() && c.Caller == other.Caller }

// Record is what is known of a request: facts, which merge to the same in any order. What was
// before a clearance is no longer held against the request.
type Record struct {
	// Attempt is the last one that was under way at a crash.
	Attempt Attempt
	// For is the only caller whose request is meant; zero: everybody's.
	OnlyCaller netip.Addr
	// Crashes are those of different workers, or with requests of different callers, in order.
	Crashes []Crash
	// HeldAt is when the request was quarantined last; zero: it never was. AloneAt is when it was
	// found that its workers crashed at one moment, and no others did; zero: never.
	QuarantinedAt, IsolatedAt time.Time
	// ClearedAt is when a run of it ended well last; zero: never. LiftedAt is when an operator lifted
	// it: what was before speaks against none of its callers.
	ClearedAt, LiftedAt time.Time
}

// Standing says how the request may be sent.
func (r Record) Standing() Standing {
	switch {
	case len(r.Crashes) == 0:
		return Unsuspected
	case r.isHeld():
		return Quarantined
	}
	return Suspect
}

// isHeld reports whether the crashes that count say that the request crashes its workers.
func (r Record) isHeld() bool {
	if !r.crashedOften() {
		return false
	}
	return r.moments() > 1 || (!r.IsolatedAt.IsZero() && !r.clears(r.IsolatedAt))
}

// clears reports whether what was at a time is no longer held against the request.
func (r Record) clears(at time.Time) bool { return r.lifts(at) || isBefore(at, r.ClearedAt) }

// lifts reports whether what was at a time is held against no caller's request.
func (r Record) lifts(at time.Time) bool { return isBefore(at, r.LiftedAt) }

// isBefore reports whether what was at a time may have been before an event, with zero for one that
// never was.
func isBefore(at, event time.Time) bool { return !event.IsZero() && !at.After(event.Add(agesOff)) }

// Until returns when the record is forgotten. That a quarantine was lifted is remembered for as
// long as some process may know of that quarantine only.
func (r Record) ExpiresAt() time.Time {
	switch {
	case !r.QuarantinedAt.IsZero():
		return r.QuarantinedAt.Add(holdTime)
	case len(r.Crashes) > 0:
		return r.last().Add(suspectMemory)
	}
	return r.removedAt().Add(clearedMemory)
}

// removedAt returns when the request was cleared or lifted last.
func (r Record) removedAt() time.Time {
	if r.LiftedAt.After(r.ClearedAt) {
		return r.LiftedAt
	}
	return r.ClearedAt
}

// last returns when the last of its crashes was.
func (r Record) last() time.Time { return r.Crashes[len(r.Crashes)-1].At }

// add adds a crash; false if it is known or cleared.
func (r *Record) add(crash Crash) bool {
	if r.clears(crash.At) || slices.ContainsFunc(r.Crashes, crash.same) {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortStableFunc(r.Crashes, func(a, c Crash) int { return a.At.Compare(c.At) })
	return true
}

// clear notes that a run of the request ended well at a time, and returns the crashes that no
// longer count.
func (r *Record) clear(at time.Time) []Crash {
	r.ClearedAt = at
	return r.removeCleared()
}

// lift notes that an operator lifted the request at a time.
func (r *Record) lift(at time.Time) {
	r.LiftedAt = at
	r.removeCleared()
}

func (r *Record) removeCleared() []Crash {
	var cleared []Crash
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool {
		if r.clears(crash.At) {
			cleared = append(cleared, crash)
		}
		return r.clears(crash.At)
	})
	return cleared
}

// merge adds what another process knows of the request. It reports whether that is news.
func (r *Record) merge(other Record) bool {
	news := r.lacks(other)
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
			news = true
		}
	}
	return news
}

// lacks reports whether another record tells of a later decision on the request.
func (r *Record) lacks(other Record) bool {
	return isLater(other.ClearedAt, r.ClearedAt) || isLater(other.LiftedAt, r.LiftedAt) || isLater(other.QuarantinedAt, r.QuarantinedAt)
}

// says reports whether a leader that tells another record has to be told this one: of a decision, of a
// clearance of what it suspects, or of crashes that it does not know. One crash that a leader has lost
// costs no more than one worker.
func (r Record) says(other Record) bool {
	switch {
	case !r.QuarantinedAt.IsZero() && other.lacks(r):
		return true
	case other.Standing() != Unsuspected && isLater(r.ClearedAt, other.ClearedAt):
		return true
	case other.Standing() == Quarantined:
		return false
	}
	ends := len(r.ends())
	return ends > 1 && ends > len(other.ends())
}

// isLater reports whether an event is a later one than another, not the same with another age.
// Zero is before all.
func isLater(event, other time.Time) bool {
	if event.IsZero() {
		return false
	}
	return other.IsZero() || event.Sub(other) > agesOff
}

// ends returns when each of the request's workers crashed, in order.
func (r Record) ends() []time.Time {
	var ends []time.Time
	ended := make(map[workers.Incarnation]bool, len(r.Crashes))
	for _, crash := range r.Crashes {
		if !ended[crash.life()] {
			ended[crash.life()] = true
			ends = append(ends, crash.At)
		}
	}
	return ends
}

func (r Record) crashedOften() bool {
	return len(r.Crashes) >= mostCrashes && len(r.ends()) >= mostCrashes
}

// moments counts the moments at which the request's workers crashed. A moment lasts from its first
// crash, so that a steady series of crashes has many.
func (r Record) moments() int {
	count := 0
	var began time.Time
	for _, end := range r.ends() {
		if count == 0 || end.Sub(began) >= sameMoment {
			count++
			began = end
		}
	}
	return count
}

// noteHeld notes since when the request is quarantined, if it is. It reports whether that is new.
func (r *Record) noteHeld(now time.Time) bool {
	if !r.isHeld() || (!r.QuarantinedAt.IsZero() && !r.clears(r.QuarantinedAt)) {
		return false
	}
	r.QuarantinedAt = now
	return true
}

func (r *Record) copied() Record {
	same := *r
	same.Crashes = slices.Clone(r.Crashes)
	return same
}
