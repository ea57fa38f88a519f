package quarantine

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Tracker decides which requests are suspects or quarantined, from the crashes at which they were in
// progress. Its zero value is not usable; see NewTracker.
//
// All requests that were in progress when a worker crashed are suspects. A harmful one is
// recognized by three crashes, not all within one cluster (but see Evaluate), without a successful
// run in between: such a run clears the request. The crashes of all callers' requests are added up;
// once the request of one caller succeeds, earlier crashes during other callers' requests count
// against the requests of those callers only.
type Tracker struct {
	records map[Fingerprint]*Record
	// crashedAt are the workers that crashed recently, whatever was in progress there, and
	// crashCounts counts them by time.
	crashedAt   map[workers.Incarnation]time.Time
	crashCounts crashCounts
	version     uint64
	// evicted counts the suspects that were removed to limit the number of records.
	evicted uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{records: map[Fingerprint]*Record{}, crashedAt: map[workers.Incarnation]time.Time{}, crashCounts: crashCounts{}}
}

// Version counts the changes of the records.
func (t *Tracker) Version() uint64 { return t.version }

// Evicted counts the suspects that were removed early, to make room for others.
func (t *Tracker) Evicted() uint64 { return t.evicted }

// Count returns how many requests are suspects and how many are quarantined.
func (t *Tracker) Count() (suspects, quarantined int) {
	for _, record := range t.records {
		switch record.Standing() {
		case Suspect:
			suspects++
		case Quarantined:
			quarantined++
		}
	}
	return suspects, quarantined
}

// Standing returns whether and how the request of a caller may be sent.
func (t *Tracker) Standing(request CallerRequest) Standing {
	return max(t.standing(request.Request), t.standing(request.Request.ForCaller(request.Caller)))
}

func (t *Tracker) standing(request Fingerprint) Standing {
	if record := t.records[request]; record != nil {
		return record.Standing()
	}
	return Unsuspected
}

// RecordCrash records that an attempt of a request was in progress at a worker when that crashed. It
// returns what becomes quarantined as a result: the request, or that of its caller.
func (t *Tracker) RecordCrash(now time.Time, attempt Attempt, crash Crash) []Attempt {
	if _, known := t.crashedAt[crash.incarnation()]; !known {
		t.crashedAt[crash.incarnation()] = crash.At
		t.crashCounts.add(crash.At)
	}
	crash.Caller = attempt.Caller
	var quarantined []Attempt
	perCaller := attempt.perCaller()
	if t.countsAgainstCaller(attempt, crash) && t.countCrash(now, perCaller, attempt.Caller, crash) {
		quarantined = append(quarantined, perCaller)
	}
	if t.countCrash(now, attempt, netip.Addr{}, crash) {
		quarantined = append(quarantined, attempt)
	}
	t.evict()
	return quarantined
}

// countsAgainstCaller reports whether a crash counts against its caller's request too, which it does
// once the requests of other callers have succeeded.
func (t *Tracker) countsAgainstCaller(attempt Attempt, crash Crash) bool {
	record := t.records[attempt.Request]
	if record != nil && record.isLifted(crash.At) {
		return false
	}
	return t.records[attempt.perCaller().Request] != nil || (record != nil && record.isCleared(crash.At))
}

// countCrash counts a crash against a request, of one caller or of all if caller is zero. It reports
// whether the request becomes quarantined as a result.
func (t *Tracker) countCrash(now time.Time, attempt Attempt, caller netip.Addr, crash Crash) bool {
	record := t.record(attempt, caller)
	if !record.add(crash) {
		return false
	}
	t.version++
	if record.QuarantinedAt.IsZero() {
		record.Attempt = attempt
	}
	return record.markQuarantined(now)
}

// record returns the record of a request, of one caller or of all if caller is zero. It adds an
// empty one if there is none.
func (t *Tracker) record(attempt Attempt, caller netip.Addr) *Record {
	record := t.records[attempt.Request]
	if record == nil {
		record = &Record{Attempt: attempt, OnlyCaller: caller}
		t.records[attempt.Request] = record
	}
	return record
}

// RecordSuccess records that a request of a caller succeeded, so that it does not crash workers as
// this caller sends it. It reports whether the request was a suspect or quarantined.
func (t *Tracker) RecordSuccess(now time.Time, request CallerRequest) bool {
	if t.Standing(request) == Unsuspected {
		return false
	}
	if perCaller := t.records[request.Request.ForCaller(request.Caller)]; perCaller != nil {
		perCaller.clear(now)
	}
	if record := t.records[request.Request]; record != nil {
		cleared := record.clear(now)
		if slices.ContainsFunc(cleared, func(crash Crash) bool { return crash.Caller == request.Caller }) {
			t.record(Attempt{Request: request.Request, Caller: request.Caller}.perCaller(), request.Caller).clear(now)
		}
		t.countAgainstCallers(record.Attempt, cleared)
	}
	t.version++
	t.evict()
	return true
}

// countAgainstCallers counts the crashes of a request that was cleared against the requests of their
// callers.
func (t *Tracker) countAgainstCallers(attempt Attempt, crashes []Crash) {
	for _, crash := range crashes {
		attempt.Caller = crash.Caller
		t.countCrash(crash.At, attempt.perCaller(), crash.Caller, crash)
	}
}

// Evaluate does the time-dependent work: it removes expired records, and quarantines requests whose
// workers all crashed within one cluster if no other worker crashed at that time, as others would if
// the crashes shared a cause. It needs the evidence of all processes. It returns the records that it
// has quarantined.
func (t *Tracker) Evaluate(now time.Time) []Record {
	t.Expire(now)
	var quarantined []Record
	for _, record := range t.records {
		if record.Standing() == Suspect && record.reachedCrashThreshold() && now.Sub(record.lastCrashAt()) >= clusterWindow && t.isIsolated(record) {
			record.IsolatedAt, record.QuarantinedAt = now, now
			t.version++
			quarantined = append(quarantined, record.clone())
		}
	}
	return quarantined
}

// Expire removes expired records and crashes.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Fingerprint, record *Record) bool {
		expired := !now.Before(record.ExpiresAt())
		if expired {
			t.version++
		}
		return expired
	})
	maps.DeleteFunc(t.crashedAt, func(_ workers.Incarnation, at time.Time) bool { return now.Sub(at) >= suspectRetention })
	t.crashCounts.forget(now.Add(-suspectRetention))
}

// isIsolated reports whether no worker crashed within clusterWindow of the record's crashes without
// running its request.
func (t *Tracker) isIsolated(record *Record) bool {
	first, last := record.Crashes[0].At.Add(-clusterWindow), record.lastCrashAt().Add(clusterWindow)
	for incarnation, at := range t.crashedAt {
		if at.Before(first) || at.After(last) {
			continue
		}
		if !slices.ContainsFunc(record.Crashes, func(crash Crash) bool { return crash.incarnation() == incarnation }) {
			return false
		}
	}
	return true
}

// Records returns all records, sorted by the time of their first crash.
func (t *Tracker) Records() []Record {
	list := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		list = append(list, record.clone())
	}
	slices.SortFunc(list, func(a, b Record) int {
		if order := a.firstCrashAt().Compare(b.firstCrashAt()); order != 0 {
			return order
		}
		return slices.Compare(a.Attempt.Request[:], b.Attempt.Request[:])
	})
	return list
}

// firstCrashAt returns the time of the first counted crash; without one, when the request was
// cleared or lifted.
func (r Record) firstCrashAt() time.Time {
	if len(r.Crashes) == 0 {
		return r.clearedOrLiftedAt()
	}
	return r.Crashes[0].At
}

// Merge adds the records of another tracker. It returns the requests that become quarantined as a
// result.
func (t *Tracker) Merge(now time.Time, list []Record) []Attempt {
	var quarantined []Attempt
	for _, other := range list {
		if other.Standing() == Unsuspected && other.clearedOrLiftedAt().IsZero() {
			continue
		}
		record := t.record(other.Attempt, other.OnlyCaller)
		before := record.Standing()
		if record.merge(other) {
			t.version++
		}
		record.markQuarantined(now)
		if before != Quarantined && record.Standing() == Quarantined {
			quarantined = append(quarantined, record.Attempt)
		}
	}
	t.evict()
	return quarantined
}
