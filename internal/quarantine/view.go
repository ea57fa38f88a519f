package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tellAgainAfter is after how long evidence is told once more that no leader has confirmed:
	// a report may be lost with its link, and its way takes half of that through a relay.
	tellAgainAfter = time.Second
	// tellFor is for how long. Without a leader nobody decides; one is found within seconds.
	tellFor = 30 * time.Second
)

// Evidence is what processes tell a leader.
type Evidence struct {
	Crashes []Suspicion `json:"x,omitempty"`
	// Finished are runs of suspected requests that ended well.
	Finished []Run `json:"d,omitempty"`
}

// Suspicion says that a request was under way at a worker that crashed.
type Suspicion struct {
	Attempt
	Crash SnapshotCrash `json:"x"`
}

// View is what one process knows: what a leader told last, and evidence of its own. It is safe
// for concurrent use.
type View struct {
	// watching says that there are records.
	watching atomic.Bool
	mu       sync.Mutex
	book     *Book
	own      []*told
	finished []Run
	changed  chan struct{}
}

// told is evidence that no leader has confirmed.
type told struct {
	attempt Attempt
	crash   Crash
	// since is when this process took it, and at when it was told last.
	since, at time.Time
}

// NewView returns a view that knows nothing.
func NewView() *View {
	return &View{book: NewBook(), changed: make(chan struct{}, 1)}
}

// Watching reports whether any request is suspected or quarantined. While none is, requests
// need no fingerprint.
func (v *View) Watching() bool { return v.watching.Load() }

// Standing says how the request of a caller may be sent.
func (v *View) Standing(run Run) Standing {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Standing(run)
}

// Changed gets a value after changes of what is known.
func (v *View) Changed() <-chan struct{} { return v.changed }

// note tells of a change. The caller holds mu.
func (v *View) note() {
	v.watching.Store(v.book.Len() > 0)
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// Crashed notes that a request was under way at a worker that crashed just now. It returns what
// is quarantined by that.
func (v *View) Crashed(now time.Time, attempt Attempt, crash Crash) []Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	crash.Caller = attempt.Caller
	if slices.ContainsFunc(v.own, func(one *told) bool {
		return one.attempt.Request == attempt.Request && one.crash.same(crash)
	}) {
		return nil
	}
	v.forget(now)
	v.own = append(v.own, &told{attempt: attempt, crash: crash, since: now})
	defer v.note()
	return v.book.Crashed(now, attempt, crash)
}

// Finished notes that a run of a suspected request ended well.
func (v *View) Finished(run Run) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.finish(run) {
		v.finished = append(v.finished, run)
	}
}

// finish clears a request. The caller holds mu.
func (v *View) finish(run Run) bool {
	v.own = slices.DeleteFunc(v.own, func(one *told) bool { return one.attempt.run() == run })
	if !v.book.Finished(run) {
		return false
	}
	v.note()
	return true
}

// Take takes the evidence of another process. It returns the requests that are quarantined by
// that.
func (v *View) Take(now time.Time, evidence Evidence) []Attempt {
	var held []Attempt
	for _, one := range evidence.Crashes {
		held = append(held, v.Crashed(now, one.Attempt, one.Crash.crashAt(now))...)
	}
	for _, run := range evidence.Finished {
		v.Finished(run)
	}
	return held
}

// Tell returns the evidence that a leader is to be told; nil if there is none.
func (v *View) Tell(now time.Time) *Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forget(now)
	evidence := &Evidence{Finished: v.finished}
	v.finished = nil
	for _, one := range v.own {
		if !one.at.IsZero() && now.Sub(one.at) < tellAgainAfter {
			continue
		}
		one.at = now
		evidence.Crashes = append(evidence.Crashes, Suspicion{
			Attempt: one.attempt,
			Crash:   one.crash.describe(now),
		})
	}
	if len(evidence.Crashes) == 0 && len(evidence.Finished) == 0 {
		return nil
	}
	return evidence
}

// forget drops evidence that has been told for long enough. The caller holds mu.
func (v *View) forget(now time.Time) {
	v.own = slices.DeleteFunc(v.own, func(one *told) bool { return now.Sub(one.since) >= tellFor })
}

// Told takes what a leader knows, in place of all but the evidence that it has not confirmed.
// It returns the requests that were not known to be quarantined.
func (v *View) Told(now time.Time, records []Record) []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.newlyHeld(records)
	v.book.Replace(records)
	v.own = slices.DeleteFunc(v.own, func(one *told) bool { return confirms(records, one) })
	for _, one := range v.own {
		v.book.Crashed(now, one.attempt, one.crash)
	}
	v.note()
	return held
}

// newlyHeld returns the quarantined records that are not known to be. The caller holds mu.
func (v *View) newlyHeld(records []Record) []Record {
	return slices.DeleteFunc(slices.Clone(records), func(one Record) bool {
		return one.Standing() != Quarantined || v.book.standing(one.Attempt.Request) == Quarantined
	})
}

// confirms reports whether records hold a piece of evidence, or need it no more.
func confirms(records []Record, evidence *told) bool {
	own := evidence.attempt.Request.By(evidence.attempt.Caller)
	return slices.ContainsFunc(records, func(one Record) bool {
		if one.Attempt.Request != evidence.attempt.Request && one.Attempt.Request != own {
			return false
		}
		return one.Standing() == Quarantined || slices.ContainsFunc(one.Crashes, evidence.crash.same)
	})
}

// Merge adds what was stored before.
func (v *View) Merge(records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book.Merge(records)
	v.note()
}

// Replace takes what an operator has stored.
func (v *View) Replace(records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book.Replace(records)
	v.own = nil
	v.note()
}

// Settle does what time brings; see Book.Settle. Only a process that has all evidence calls it.
func (v *View) Settle(now time.Time) []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.book.Settle(now)
	if len(held) > 0 {
		v.note()
	}
	v.watching.Store(v.book.Len() > 0)
	return held
}

// Snapshot describes what is known, and the version of it.
func (v *View) Snapshot(now time.Time) (Snapshot, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return NewSnapshot(now, v.book.Records()), v.book.Version()
}

// Records returns what is known, and the version of it.
func (v *View) Records() ([]Record, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Records(), v.book.Version()
}

// Dropped counts the suspects that were forgotten early, to make room for others.
func (v *View) Dropped() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Dropped()
}

// Count returns how many requests are suspects and how many are quarantined.
func (v *View) Count() (suspects, quarantined int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, one := range v.book.Records() {
		if one.Standing() == Quarantined {
			quarantined++
		} else {
			suspects++
		}
	}
	return suspects, quarantined
}
