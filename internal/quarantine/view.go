package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reportRetryInterval is the interval at which evidence is reported again until a leader has
	// confirmed it: a report may be lost with its link, and takes half of that time through a relay.
	reportRetryInterval = time.Second
	// reportDuration is how long evidence is reported: a leader that has not accepted it by then
	// has no room for it.
	reportDuration = 30 * time.Second
	// maxOwnCrashes is the number of crashes above which a process drops those that a leader knows.
	maxOwnCrashes = maxRecords
)

// Evidence is what processes report to a leader.
type Evidence struct {
	Crashes []CrashReport `json:"x,omitempty"`
	// Succeeded are suspected requests that succeeded.
	Succeeded []CallerRequest `json:"d,omitempty"`
	// MissingRecords are records that the leader's updates lack, in whole or in part.
	MissingRecords *Snapshot `json:"k,omitempty"`
}

// CrashReport reports that an attempt was in progress at a worker that crashed.
type CrashReport struct {
	Attempt
	Crash SnapshotCrash `json:"x"`
}

// View is what one process knows: updates received from leaders, and its own evidence, not all of
// which a leader may know. It is safe for concurrent use.
type View struct {
	// anyRestricted says that some request is a suspect or quarantined.
	anyRestricted atomic.Bool
	mu            sync.Mutex
	tracker       *Tracker
	ownCrashes    []*ownCrash
	succeeded     []CallerRequest
	// missing are the requests whose records must be reported to the leader.
	missing map[Fingerprint]*delivery
	changed chan struct{}
}

// delivery is the state of reporting a piece of evidence to the leader.
type delivery struct {
	// firstAt is when it was first reported; zero: never. lastAt is when it was last reported, or
	// when the wait for the first report began; zero: never.
	firstAt, lastAt time.Time
}

// due reports whether the evidence is to be reported now, and records that it is.
func (d *delivery) due(now time.Time) bool {
	if !d.firstAt.IsZero() && now.Sub(d.firstAt) >= reportDuration {
		return false
	}
	if !d.lastAt.IsZero() && now.Sub(d.lastAt) < reportRetryInterval {
		return false
	}
	if d.firstAt.IsZero() {
		d.firstAt = now
	}
	d.lastAt = now
	return true
}

// ownCrash is a crash observed by this process, or by one that reports to the leader through this
// one.
type ownCrash struct {
	delivery
	attempt Attempt
	// perCaller is the attempt with the per-caller fingerprint.
	perCaller Attempt
	crash     Crash
	// confirmed says that the current leader knows it. Another leader may not.
	confirmed bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{tracker: NewTracker(), missing: map[Fingerprint]*delivery{}, changed: make(chan struct{}, 1)}
}

// AnyRestricted reports whether any request is a suspect or quarantined. While none is, requests
// need no fingerprint.
func (v *View) AnyRestricted() bool { return v.anyRestricted.Load() }

// Standing returns whether and how the request of a caller may be sent.
func (v *View) Standing(request CallerRequest) Standing {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Standing(request)
}

// SuspectedAs returns the fingerprint under which a caller's request is suspected: that of all callers'
// requests, or else of this caller's.
func (v *View) SuspectedAs(request CallerRequest) Fingerprint {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.tracker.standing(request.Request) == Unsuspected {
		return request.Request.ForCaller(request.Caller)
	}
	return request.Request
}

// Cleared reports whether a request was suspected and has succeeded since, whoever sent it.
func (v *View) Cleared(request Fingerprint) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	record := v.tracker.records[request]
	return record != nil && record.Standing() == Unsuspected
}

// Changed returns a channel that receives a value after changes of the records.
func (v *View) Changed() <-chan struct{} { return v.changed }

// notifyChanged signals a change. The caller holds mu.
func (v *View) notifyChanged() {
	v.updateAnyRestricted()
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// updateAnyRestricted updates anyRestricted. The caller holds mu.
func (v *View) updateAnyRestricted() {
	suspects, quarantined := v.tracker.Count()
	v.anyRestricted.Store(suspects+quarantined > 0)
}

// RecordCrash records that an attempt was in progress at a worker that crashed. It returns what
// becomes quarantined as a result.
func (v *View) RecordCrash(now time.Time, attempt Attempt, crash Crash) []Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	crash.Caller = attempt.Caller
	if slices.ContainsFunc(v.ownCrashes, func(own *ownCrash) bool {
		return own.attempt.Request == attempt.Request && own.crash.same(crash)
	}) {
		return nil
	}
	v.ownCrashes = append(v.ownCrashes, &ownCrash{attempt: attempt, perCaller: attempt.perCaller(), crash: crash})
	defer v.notifyChanged()
	return v.tracker.RecordCrash(now, attempt, crash)
}

// RecordSuccess records that a request of a caller succeeded.
func (v *View) RecordSuccess(now time.Time, request CallerRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ownCrashes = slices.DeleteFunc(v.ownCrashes, func(own *ownCrash) bool { return own.attempt.callerRequest() == request })
	if v.tracker.RecordSuccess(now, request) {
		v.succeeded = append(v.succeeded, request)
		v.notifyChanged()
	}
}

// HandleEvidence adds the evidence of another process. It returns the requests that become
// quarantined as a result.
func (v *View) HandleEvidence(now time.Time, evidence Evidence) []Attempt {
	var quarantined []Attempt
	for _, report := range evidence.Crashes {
		quarantined = append(quarantined, v.RecordCrash(now, report.Attempt, report.Crash.crash(now))...)
	}
	for _, request := range evidence.Succeeded {
		v.RecordSuccess(now, request)
	}
	if evidence.MissingRecords != nil {
		quarantined = append(quarantined, v.Merge(now, evidence.MissingRecords.ReceivedRecords(now))...)
	}
	return quarantined
}

// CollectEvidence returns the evidence to be reported to a leader now; nil if there is none.
func (v *View) CollectEvidence(now time.Time) *Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forget(now)
	evidence := &Evidence{Succeeded: v.succeeded}
	v.succeeded = nil
	for _, own := range v.ownCrashes {
		if own.confirmed || !own.due(now) {
			continue
		}
		evidence.Crashes = append(evidence.Crashes, CrashReport{
			Attempt: own.attempt,
			Crash:   own.crash.toSnapshot(now),
		})
	}
	if missing := v.collectMissing(now); len(missing.Records) > 0 {
		evidence.MissingRecords = &missing
	}
	if len(evidence.Crashes) == 0 && len(evidence.Succeeded) == 0 && evidence.MissingRecords == nil {
		return nil
	}
	return evidence
}

// collectMissing returns the records that the leader lacks and that are to be reported now. The
// caller holds mu.
func (v *View) collectMissing(now time.Time) Snapshot {
	var records []Record
	for request, state := range v.missing {
		if record := v.tracker.records[request]; record != nil && state.due(now) {
			records = append(records, record.clone())
		}
	}
	return NewSnapshot(now, records)
}

// forget drops crashes that are expired or cleared, and beyond maxOwnCrashes the oldest of those
// that a leader knows. The caller holds mu.
func (v *View) forget(now time.Time) {
	v.ownCrashes = slices.DeleteFunc(v.ownCrashes, func(own *ownCrash) bool { return now.Sub(own.crash.At) >= suspectRetention || v.isCleared(own) })
	surplus := len(v.ownCrashes) - maxOwnCrashes
	v.ownCrashes = slices.DeleteFunc(v.ownCrashes, func(own *ownCrash) bool {
		if surplus <= 0 || !own.confirmed {
			return false
		}
		surplus--
		return true
	})
}

// isCleared reports whether the request was lifted, or has succeeded for the same caller, since the
// crash. The caller holds mu.
func (v *View) isCleared(own *ownCrash) bool {
	record, perCaller := v.tracker.records[own.attempt.Request], v.tracker.records[own.perCaller.Request]
	return (record != nil && record.isLifted(own.crash.At)) || (perCaller != nil && perCaller.isCleared(own.crash.At))
}

// HandleUpdate merges a leader's records. A leader may lack evidence: what this process knows is
// kept, and reported to the leader. It returns what becomes quarantined as a result.
func (v *View) HandleUpdate(now time.Time, records []Record) []Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Expire(now)
	quarantined := v.tracker.Merge(now, records)
	leaderRecords := make(map[Fingerprint]Record, len(records))
	for _, record := range records {
		leaderRecords[record.Attempt.Request] = record
	}
	v.forget(now)
	for _, own := range v.ownCrashes {
		confirmed := confirms(leaderRecords, own)
		if own.confirmed && !confirmed {
			own.delivery = delivery{}
		}
		own.confirmed = confirmed
	}
	v.updateMissing(now, leaderRecords)
	v.notifyChanged()
	return quarantined
}

// updateMissing determines which records must be reported to the leader. The caller holds mu.
func (v *View) updateMissing(now time.Time, leaderRecords map[Fingerprint]Record) {
	before := v.missing
	v.missing = map[Fingerprint]*delivery{}
	for request, record := range v.tracker.records {
		if !record.mustReport(leaderRecords[request]) {
			continue
		}
		v.missing[request] = before[request]
		if v.missing[request] == nil {
			// An update that includes it may be in transit.
			v.missing[request] = &delivery{lastAt: now}
		}
	}
}

// confirms reports whether a leader's records contain a crash, or no longer need it because the
// request is quarantined.
func confirms(leaderRecords map[Fingerprint]Record, crash *ownCrash) bool {
	for _, request := range []Fingerprint{crash.attempt.Request, crash.perCaller.Request} {
		record, known := leaderRecords[request]
		if known && (record.Standing() == Quarantined || slices.ContainsFunc(record.Crashes, crash.crash.same)) {
			return true
		}
	}
	return false
}

// Merge adds records that another process has sent or stored. It returns what becomes quarantined
// as a result.
func (v *View) Merge(now time.Time, records []Record) []Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	quarantined := v.tracker.Merge(now, records)
	v.notifyChanged()
	return quarantined
}

// NewlyLifted returns the requests that are suspects or quarantined here, and that an operator has
// lifted according to the given records.
func (v *View) NewlyLifted(records []Record) []Fingerprint {
	v.mu.Lock()
	defer v.mu.Unlock()
	var lifted []Fingerprint
	for _, given := range records {
		record := v.tracker.records[given.Attempt.Request]
		if record != nil && record.Standing() != Unsuspected && isLater(given.LiftedAt, record.LiftedAt) {
			lifted = append(lifted, given.Attempt.Request)
		}
	}
	return lifted
}

// Evaluate does the time-dependent work; see Tracker.Evaluate. Only a process that has the evidence
// of all processes calls it.
func (v *View) Evaluate(now time.Time) []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	quarantined := v.tracker.Evaluate(now)
	if len(quarantined) > 0 {
		v.notifyChanged()
	}
	v.updateAnyRestricted()
	return quarantined
}

// Snapshot returns a snapshot of the records, and their version.
func (v *View) Snapshot(now time.Time) (Snapshot, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return NewSnapshot(now, v.tracker.Records()), v.tracker.Version()
}

// Records returns the records, and their version.
func (v *View) Records() ([]Record, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Records(), v.tracker.Version()
}

// Evicted counts the suspects that were removed early, to make room for others.
func (v *View) Evicted() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Evicted()
}

// Count returns how many requests are suspects and how many are quarantined.
func (v *View) Count() (suspects, quarantined int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Count()
}
