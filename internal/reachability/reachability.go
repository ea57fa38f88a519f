// Package reachability judges whether a process is cut off from the workers, as opposed to some of them
// having failed. A failed connection to one worker shows nothing about that worker while all others
// fail as well.
//
// The package is pure: it opens no connections and reads no clock.
package reachability

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// silenceLimit is for how long sends may be in flight without any worker answering before some
	// workers are dialed. It is shorter than a connection attempt's timeout.
	silenceLimit = 300 * time.Millisecond
	// surveyInterval is the minimum interval between surveys while workers are reached, and
	// probeInterval the one while they are not.
	surveyInterval = 300 * time.Millisecond
	probeInterval  = 200 * time.Millisecond
	// quickSurvey and fullSurvey are the numbers of workers that are dialed. A quick survey that
	// reaches any worker ends a suspicion; only a full one shows that the process is cut off.
	quickSurvey = 2
	fullSurvey  = 8
	// minDialed is the number of workers below which failures show nothing about this process.
	minDialed = 2
	// maxCutOffShare is the share of the dialed workers up to which a process that reaches them
	// counts as cut off, and minReachedShare the one from which it no longer does.
	maxCutOffShare  = 0.25
	minReachedShare = 0.75
	// evidenceLifetime is for how long answers of workers show that the process reaches them, and
	// failures that it does not.
	evidenceLifetime = time.Second
	// pruneInterval is the interval at which old outcomes are removed.
	pruneInterval = 10 * time.Second
)

// outcome is how the last send to a worker ended.
type outcome struct {
	at       time.Time
	answered bool
}

// Tracker holds what one process has seen of its connections to all workers. It is safe for concurrent
// use; the zero value is a process that has seen nothing.
type Tracker struct {
	mu       sync.Mutex
	inFlight int
	// heardAt is when a worker last answered, and waitingSince since when sends have been in flight
	// without an answer; zero if none are.
	heardAt, waitingSince time.Time
	// outcomes are the last ones by worker, pruned at pruneAt.
	outcomes map[workers.ID]outcome
	pruneAt  time.Time
	// suspicious is set if a connection has failed since the last survey, and silenceSurveyed if a
	// survey has reached workers since the last answer.
	suspicious, silenceSurveyed bool
	// surveyedAt is when the last survey began, and size its size. next is the size of one that is
	// due at once; zero if none is. checkedAt is when the last survey began that showed whether the
	// workers are reached.
	surveyedAt, checkedAt time.Time
	size, next            int
	// unreachable is set once a full survey has reached hardly any worker, and changedAt is when it
	// last changed.
	unreachable bool
	changedAt   time.Time
}

// BeginSend records that a request or an order was sent to a worker.
func (t *Tracker) BeginSend(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	if t.waitingSince.IsZero() {
		t.waitingSince = now
	}
}

// EndSend records the end of a send: whether the worker answered, and if not, whether its connection
// failed or it stayed silent.
func (t *Tracker) EndSend(now time.Time, worker workers.ID, answered, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if answered || failed {
		t.recordOutcome(now, worker, answered)
	}
	t.suspicious = t.suspicious || failed
	switch {
	case answered:
		t.heardAt, t.waitingSince, t.silenceSurveyed = now, now, false
		if t.inFlight == 0 {
			t.waitingSince = time.Time{}
		}
	case t.inFlight == 0:
		t.waitingSince = time.Time{}
	}
}

// recordOutcome records how a send ended, and removes old outcomes. The caller holds mu.
func (t *Tracker) recordOutcome(now time.Time, worker workers.ID, answered bool) {
	if t.outcomes == nil {
		t.outcomes = map[workers.ID]outcome{}
	}
	t.outcomes[worker] = outcome{at: now, answered: answered}
	if now.Before(t.pruneAt) {
		return
	}
	t.pruneAt = now.Add(pruneInterval)
	for id, last := range t.outcomes {
		if now.Sub(last.at) > evidenceLifetime {
			delete(t.outcomes, id)
		}
	}
}

// NextSurvey returns how many workers are to be dialed now; zero if none. The caller must report the
// result to RecordSurvey before it asks again.
func (t *Tracker) NextSurvey(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := t.next
	elapsed := now.Sub(t.surveyedAt)
	switch {
	case size > 0:
	case t.unreachable && elapsed >= probeInterval:
		size = 1
	case !t.unreachable && elapsed >= surveyInterval && (t.suspicious || t.silent(now)):
		size = quickSurvey
	}
	if size > 0 {
		t.surveyedAt, t.size, t.next, t.suspicious = now, size, 0, false
	}
	return size
}

// silent reports whether sends have been in flight for too long without an answer, and no survey has
// found the workers reachable meanwhile. The caller holds mu.
func (t *Tracker) silent(now time.Time) bool {
	return !t.silenceSurveyed && !t.waitingSince.IsZero() && now.Sub(t.waitingSince) >= silenceLimit
}

// RecordSurvey records the result of a survey: how many workers were dialed, which are fewer than
// requested if fewer are known, or none if the survey is void, and how many were reached. It returns true if that changes whether the
// process is cut off.
func (t *Tracker) RecordSurvey(now time.Time, dialed, reached int) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.recordSurvey(now, dialed, reached)
	if t.next == 0 {
		t.checkedAt = t.surveyedAt
	}
	return changed
}

// recordSurvey does the work of RecordSurvey. The caller holds mu.
func (t *Tracker) recordSurvey(now time.Time, dialed, reached int) (changed bool) {
	if t.unreachable {
		return t.recordWhileUnreachable(now, dialed, reached)
	}
	switch {
	case dialed < minDialed || float64(reached) > maxCutOffShare*float64(dialed):
		t.silenceSurveyed = true
	case t.size < fullSurvey:
		t.next = fullSurvey
	default:
		t.unreachable, t.changedAt = true, now
		return true
	}
	return false
}

// recordWhileUnreachable is RecordSurvey for a process that is cut off. The caller holds mu.
func (t *Tracker) recordWhileUnreachable(now time.Time, dialed, reached int) (changed bool) {
	switch {
	case dialed == 0 || float64(reached) < minReachedShare*float64(dialed):
		return false
	case t.size < fullSurvey:
		t.next = fullSurvey
		return false
	}
	t.unreachable, t.changedAt = false, now
	return true
}

// RequestSurvey makes a full survey due at once, to find out whether a failure shows anything about its
// worker. A quick one may happen to reach one of few workers that are left.
func (t *Tracker) RequestSurvey() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unreachable {
		t.next = fullSurvey
	}
}

// CheckedSince reports whether a survey that began after a time has shown whether workers are reached.
func (t *Tracker) CheckedSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkedAt.After(since)
}

// Unreachable reports whether new connections to the workers fail. Open ones may still work.
func (t *Tracker) Unreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreachable
}

// CutOff reports whether new connections to the workers fail and hardly any worker answers on an open one.
func (t *Tracker) CutOff(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreachable && !t.connectionsWork(now)
}

// connectionsWork reports whether workers answer on open connections, and not only the few that the
// process still reaches. The caller holds mu.
func (t *Tracker) connectionsWork(now time.Time) bool {
	if now.Sub(t.heardAt) > silenceLimit {
		return false
	}
	answering, failing := 0, 0
	for _, last := range t.outcomes {
		switch age := now.Sub(last.at); {
		case last.answered && age <= silenceLimit:
			answering++
		case !last.answered && age <= evidenceLifetime:
			failing++
		}
	}
	return float64(answering) > maxCutOffShare*float64(answering+failing)
}

// Reaches reports whether workers have answered lately and new connections work. A process may neither
// reach workers nor be cut off, if it sends nothing.
func (t *Tracker) Reaches(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.unreachable && now.Sub(t.heardAt) <= evidenceLifetime
}

// UnreachableSince returns since when new connections to the workers fail; false if they don't.
func (t *Tracker) UnreachableSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changedAt, t.unreachable
}

// UnreachableWithin reports whether new connections to the workers have failed at any time within a
// period before now.
func (t *Tracker) UnreachableWithin(now time.Time, period time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreachable || (!t.changedAt.IsZero() && now.Sub(t.changedAt) < period)
}

// HeardSince reports whether any worker has answered since a time. If none has, a send that ends without
// an answer shows nothing about its worker.
func (t *Tracker) HeardSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardAt.After(since)
}
