package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxRemovals is how many removals a change log remembers: as many as a tracker holds records. A
// process whose state is older receives all records.
const maxRemovals = maxRecords

// Changes are the changes of a change log's records since an earlier version.
type Changes struct {
	// Full says that Updated contains all records; else those that are new or have changed.
	Full    bool     `json:"w,omitempty"`
	Updated Snapshot `json:"s"`
	// Removed are the requests whose records were removed.
	Removed []Fingerprint `json:"g,omitempty"`
}

// ChangeLog is a versioned list of records, of which other processes receive the changes. The zero
// value is uninitialized: it is unknown whether there are records. It is not safe for concurrent
// use.
type ChangeLog struct {
	version uint64
	entries map[Fingerprint]logEntry
	// prunedVersion is the latest version whose removal is no longer remembered.
	prunedVersion uint64
}

// logEntry is a record, or its removal, with the version of that change.
type logEntry struct {
	version uint64
	record  Record
	removed bool
}

// Version counts the changes; zero: the log is uninitialized.
func (l *ChangeLog) Version() uint64 { return l.version }

// Records returns all records, in no particular order.
func (l *ChangeLog) Records() []Record {
	var records []Record
	for _, entry := range l.entries {
		if !entry.removed {
			records = append(records, entry.record)
		}
	}
	return records
}

// Set replaces the records, and logs the differences as changes.
func (l *ChangeLog) Set(records []Record) {
	if l.version == 0 {
		l.version, l.entries = 1, map[Fingerprint]logEntry{}
	}
	listed := map[Fingerprint]bool{}
	for _, record := range records {
		listed[record.Attempt.Request] = true
		l.put(record)
	}
	for request, entry := range l.entries {
		if !listed[request] && !entry.removed {
			l.remove(request)
		}
	}
	l.prune()
}

// Apply applies changes that were received at now.
func (l *ChangeLog) Apply(now time.Time, changes Changes) {
	if changes.Full || l.version == 0 {
		l.Set(changes.Updated.ReceivedRecords(now))
		return
	}
	for _, record := range changes.Updated.ReceivedRecords(now) {
		l.put(record)
	}
	for _, request := range changes.Removed {
		if entry, known := l.entries[request]; known && !entry.removed {
			l.remove(request)
		}
	}
	l.prune()
}

// put adds or updates a record.
func (l *ChangeLog) put(record Record) {
	entry, known := l.entries[record.Attempt.Request]
	if known && !entry.removed && sameRecord(entry.record, record) {
		return
	}
	l.version++
	l.entries[record.Attempt.Request] = logEntry{version: l.version, record: record}
}

// remove logs the removal of a record.
func (l *ChangeLog) remove(request Fingerprint) {
	l.version++
	l.entries[request] = logEntry{version: l.version, removed: true}
}

// sameRecord reports whether two records have the same content. Times, which are sent as ages, may
// differ by the latency of messages.
func sameRecord(a, b Record) bool {
	return a.Attempt == b.Attempt && sameEvent(a.QuarantinedAt, b.QuarantinedAt) && sameEvent(a.ClearedAt, b.ClearedAt) &&
		sameEvent(a.LiftedAt, b.LiftedAt) &&
		slices.EqualFunc(a.Crashes, b.Crashes, Crash.same)
}

// sameEvent reports whether two times are those of one event, within the error of ages, or both
// zero.
func sameEvent(a, b time.Time) bool { return !isLater(a, b) && !isLater(b, a) }

// prune drops the oldest removals.
func (l *ChangeLog) prune() {
	var removals []uint64
	for _, entry := range l.entries {
		if entry.removed {
			removals = append(removals, entry.version)
		}
	}
	if len(removals) <= maxRemovals {
		return
	}
	slices.Sort(removals)
	l.prunedVersion = removals[len(removals)-maxRemovals-1]
	maps.DeleteFunc(l.entries, func(_ Fingerprint, entry logEntry) bool {
		return entry.removed && entry.version <= l.prunedVersion
	})
}

// Since returns the changes after a version, at most limit of them and the oldest first, and the
// version that they lead up to. It returns all records if the version is zero or too old. Changed
// records of quarantined requests are included beyond the limit as well, since these requests must
// not be sent to any worker.
func (l *ChangeLog) Since(now time.Time, version uint64, limit int) (Changes, uint64) {
	if version == 0 || version < l.prunedVersion {
		return Changes{Full: true, Updated: NewSnapshot(now, l.Records())}, l.version
	}
	var changed []logEntry
	for _, entry := range l.entries {
		if entry.version > version {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, func(a, b logEntry) int { return cmp.Compare(a.version, b.version) })
	return l.changes(now, changed, limit)
}

// changes encodes at most limit changed entries, which are sorted by version, and all records of
// quarantined requests among them. It also returns the version that the changes lead up to.
func (l *ChangeLog) changes(now time.Time, changed []logEntry, limit int) (Changes, uint64) {
	var changes Changes
	var records []Record
	upTo := l.version
	if len(changed) > limit {
		upTo = changed[limit].version - 1
	}
	removals := map[uint64]bool{}
	for _, entry := range changed {
		switch {
		case entry.version > upTo && entry.record.Standing() != Quarantined:
		case entry.removed:
			removals[entry.version] = true
		default:
			records = append(records, entry.record)
		}
	}
	for request, entry := range l.entries {
		if removals[entry.version] {
			changes.Removed = append(changes.Removed, request)
		}
	}
	changes.Updated = NewSnapshot(now, records)
	return changes, upTo
}
