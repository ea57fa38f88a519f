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
	// tellFor is for how long: a leader that does not take it has no room for it.
	tellFor = 30 * time.Second
	// mostOwn bounds the evidence that a process keeps although a leader knows it.
	mostOwn = mostRecords
)

// Evidence is what processes tell a leader.
type Evidence struct {
	Crashes []CrashReport `json:"x,omitempty"`
	// Finished are runs of suspected requests that ended well.
	Succeeded []CallerRequest `json:"d,omitempty"`
	// Known are requests of which the leader does not tell enough.
	MissingRecords *Snapshot `json:"k,omitempty"`
}

// Suspicion says that a request was under way at a worker that crashed.
type CrashReport struct {
	Attempt
	Crash SnapshotCrash `json:"x"`
}

// View is what one process knows: what leaders told and evidence of its own, of which a leader may
// not know all. It is safe for concurrent use.
type View struct {
	// watching says that there are records.
	watching atomic.Bool
	mu       sync.Mutex
	book     *Tracker
	own      []*witnessed
	finished []CallerRequest
	// lacking are the requests of which the leader has to be told what is known here.
	lacking map[Fingerprint]*delivery
	changed chan struct{}
}

// delivery is that of a fact to the leader.
type delivery struct {
	// first is when it was told first, and at when it was told last; zero: it was not.
	first, at time.Time
}

// due reports whether the fact is to be told now, and notes that it is.
func (d *delivery) due(now time.Time) bool {
	if !d.first.IsZero() && now.Sub(d.first) >= tellFor {
		return false
	}
	if !d.at.IsZero() && now.Sub(d.at) < tellAgainAfter {
		return false
	}
	if d.first.IsZero() {
		d.first = now
	}
	d.at = now
	return true
}

// witnessed is evidence of this process, or of one that tells the leader through this one.
type witnessed struct {
	delivery
	attempt Attempt
	// own is the attempt as one of its caller's own request.
	own   Attempt
	crash Crash
	// confirmed says that the leader knows it. Another leader may not.
	confirmed bool
}

// NewView returns a view that knows nothing.
func NewView() *View {
	return &View{book: NewTracker(), lacking: map[Fingerprint]*delivery{}, changed: make(chan struct{}, 1)}
}

// Watching reports whether any request is suspected or quarantined. While none is, requests
// need no fingerprint.
func (v *View) AnyRestricted() bool { return v.watching.Load() }

// Standing says how the request of a caller may be sent.
func (v *View) Standing(run CallerRequest) Standing {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Standing(run)
}

// Changed gets a value after changes of what is known.
func (v *View) Changed() <-chan struct{} { return v.changed }

// note tells of a change. The caller holds mu.
func (v *View) note() {
	v.watch()
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// watch notes whether there are suspects or quarantined requests. The caller holds mu.
func (v *View) watch() {
	suspects, quarantined := v.book.Count()
	v.watching.Store(suspects+quarantined > 0)
}

// Crashed notes that a request was under way at a worker that crashed just now. It returns what
// is quarantined by that.
func (v *View) RecordCrash(now time.Time, attempt Attempt, crash Crash) []Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	crash.Caller = attempt.Caller
	if slices.ContainsFunc(v.own, func(one *witnessed) bool {
		return one.attempt.Request == attempt.Request && one.crash.same(crash)
	}) {
		return nil
	}
	v.own = append(v.own, &witnessed{attempt: attempt, own: attempt.own(), crash: crash})
	defer v.note()
	return v.book.RecordCrash(now, attempt, crash)
}

// Finished notes that a run of a suspected request ended well.
func (v *View) RecordSuccess(now time.Time, run CallerRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own = slices.DeleteFunc(v.own, func(one *witnessed) bool { return one.attempt.run() == run })
	if v.book.RecordSuccess(now, run) {
		v.finished = append(v.finished, run)
		v.note()
	}
}

// Take takes the evidence of another process. It returns the requests that are quarantined by
// that.
func (v *View) HandleEvidence(now time.Time, evidence Evidence) []Attempt {
	var held []Attempt
	for _, one := range evidence.Crashes {
		held = append(held, v.RecordCrash(now, one.Attempt, one.Crash.crashAt(now))...)
	}
	for _, run := range evidence.Succeeded {
		v.RecordSuccess(now, run)
	}
	if evidence.MissingRecords != nil {
		held = append(held, v.Merge(now, evidence.MissingRecords.Received(now))...)
	}
	return held
}

// Tell returns the evidence that a leader is to be told; nil if there is none.
func (v *View) CollectEvidence(now time.Time) *Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forget(now)
	evidence := &Evidence{Succeeded: v.finished}
	v.finished = nil
	for _, one := range v.own {
		if one.confirmed || !one.due(now) {
			continue
		}
		evidence.Crashes = append(evidence.Crashes, CrashReport{
			Attempt: one.attempt,
			Crash:   one.crash.describe(now),
		})
	}
	if known := v.known(now); len(known.Records) > 0 {
		evidence.MissingRecords = &known
	}
	if len(evidence.Crashes) == 0 && len(evidence.Succeeded) == 0 && evidence.MissingRecords == nil {
		return nil
	}
	return evidence
}

// known describes what the leader lacks, as far as that is to be told now. The caller holds mu.
func (v *View) known(now time.Time) Snapshot {
	var records []Record
	for request, one := range v.lacking {
		if known := v.book.records[request]; known != nil && one.due(now) {
			records = append(records, known.copied())
		}
	}
	return NewSnapshot(now, records)
}

// forget drops evidence that is old or cleared, and of what a leader knows the oldest beyond the
// bound. The caller holds mu.
func (v *View) forget(now time.Time) {
	v.own = slices.DeleteFunc(v.own, func(one *witnessed) bool { return now.Sub(one.crash.At) >= suspectMemory || v.isCleared(one) })
	surplus := len(v.own) - mostOwn
	v.own = slices.DeleteFunc(v.own, func(one *witnessed) bool {
		if surplus <= 0 || !one.confirmed {
			return false
		}
		surplus--
		return true
	})
}

// isCleared reports whether a run of the same caller has ended well since. The caller holds mu.
func (v *View) isCleared(one *witnessed) bool {
	known, own := v.book.records[one.attempt.Request], v.book.records[one.own.Request]
	return (known != nil && known.lifts(one.crash.At)) || (own != nil && own.clears(one.crash.At))
}

// Told takes what a leader knows. A leader may not know all: what is known here stays, and the
// leader is told of it. It returns what is quarantined by that.
func (v *View) HandleUpdate(now time.Time, records []Record) []Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book.Expire(now)
	held := v.book.Merge(now, records)
	listed := make(map[Fingerprint]Record, len(records))
	for _, one := range records {
		listed[one.Attempt.Request] = one
	}
	v.forget(now)
	for _, one := range v.own {
		confirmed := confirms(listed, one)
		if one.confirmed && !confirmed {
			one.delivery = delivery{}
		}
		one.confirmed = confirmed
	}
	v.noteLacking(now, listed)
	v.note()
	return held
}

// noteLacking notes of which requests the leader has to be told. The caller holds mu.
func (v *View) noteLacking(now time.Time, listed map[Fingerprint]Record) {
	before := v.lacking
	v.lacking = map[Fingerprint]*delivery{}
	for request, known := range v.book.records {
		if !known.says(listed[request]) {
			continue
		}
		v.lacking[request] = before[request]
		if v.lacking[request] == nil {
			// Its list may be on its way.
			v.lacking[request] = &delivery{at: now}
		}
	}
}

// confirms reports whether a leader's records hold a piece of evidence, or need it no more.
func confirms(listed map[Fingerprint]Record, evidence *witnessed) bool {
	for _, request := range []Fingerprint{evidence.attempt.Request, evidence.own.Request} {
		one, known := listed[request]
		if known && (one.Standing() == Quarantined || slices.ContainsFunc(one.Crashes, evidence.crash.same)) {
			return true
		}
	}
	return false
}

// Merge adds what another process knows, or has stored. It returns what is quarantined by that.
func (v *View) Merge(now time.Time, records []Record) []Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.book.Merge(now, records)
	v.note()
	return held
}

// Lifted returns which requests other records say to be lifted that are known to be suspects or
// quarantined.
func (v *View) NewlyLifted(records []Record) []Fingerprint {
	v.mu.Lock()
	defer v.mu.Unlock()
	var lifted []Fingerprint
	for _, one := range records {
		known := v.book.records[one.Attempt.Request]
		if known != nil && known.Standing() != Unsuspected && isLater(one.LiftedAt, known.LiftedAt) {
			lifted = append(lifted, one.Attempt.Request)
		}
	}
	return lifted
}

// Settle does what time brings; see Book.Evaluate. Only a process that has all evidence calls it.
func (v *View) Evaluate(now time.Time) []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.book.Evaluate(now)
	if len(held) > 0 {
		v.note()
	}
	v.watch()
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
func (v *View) Evicted() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Evicted()
}

// Count returns how many requests are suspects and how many are quarantined.
func (v *View) Count() (suspects, quarantined int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Count()
}
