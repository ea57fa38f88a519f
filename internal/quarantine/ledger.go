package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// keptGone is how many removed records a ledger remembers: as many as a book holds. Who knows
// of an older state is told all records.
const keptGone = mostRecords

// Changes are what has become of a ledger's records since an earlier state.
type Changes struct {
	// Whole says that Fresh are all records; else those that are new or have changed.
	Full    bool     `json:"w,omitempty"`
	Updated Snapshot `json:"s"`
	// Gone are the requests whose records were removed.
	Removed []Fingerprint `json:"g,omitempty"`
}

// Ledger is a list of records that is told to others by its changes. The zero value knows
// nothing, not even that there are no records. It is not safe for concurrent use.
type ChangeLog struct {
	version uint64
	entries map[Fingerprint]ledgerEntry
	// forgotten is the newest version of which a removal is no longer remembered.
	forgotten uint64
}

// ledgerEntry is a record, or that it was removed, with the version of that change.
type ledgerEntry struct {
	version uint64
	record  Record
	gone    bool
}

// Version counts the changes; zero: nothing is known.
func (l *ChangeLog) Version() uint64 { return l.version }

// Records returns all records, in no order.
func (l *ChangeLog) Records() []Record {
	var records []Record
	for _, entry := range l.entries {
		if !entry.gone {
			records = append(records, entry.record)
		}
	}
	return records
}

// Set replaces the records, and takes note of what has changed with that.
func (l *ChangeLog) Set(records []Record) {
	if l.version == 0 {
		l.version, l.entries = 1, map[Fingerprint]ledgerEntry{}
	}
	listed := map[Fingerprint]bool{}
	for _, record := range records {
		listed[record.Attempt.Request] = true
		l.put(record)
	}
	for request, entry := range l.entries {
		if !listed[request] && !entry.gone {
			l.remove(request)
		}
	}
	l.prune()
}

// Apply takes changes that were told at a time.
func (l *ChangeLog) Apply(now time.Time, changes Changes) {
	if changes.Full || l.version == 0 {
		l.Set(changes.Updated.Received(now))
		return
	}
	for _, record := range changes.Updated.Received(now) {
		l.put(record)
	}
	for _, request := range changes.Removed {
		if entry, known := l.entries[request]; known && !entry.gone {
			l.remove(request)
		}
	}
	l.prune()
}

// put adds or changes a record.
func (l *ChangeLog) put(record Record) {
	entry, known := l.entries[record.Attempt.Request]
	if known && !entry.gone && sameRecord(entry.record, record) {
		return
	}
	l.version++
	l.entries[record.Attempt.Request] = ledgerEntry{version: l.version, record: record}
}

// remove notes that a record was removed.
func (l *ChangeLog) remove(request Fingerprint) {
	l.version++
	l.entries[request] = ledgerEntry{version: l.version, gone: true}
}

// sameRecord reports whether two records tell the same. The times of crashes, which are told as
// ages, differ by what messages take on their way.
func sameRecord(a, b Record) bool {
	return a.Attempt == b.Attempt && sameEvent(a.QuarantinedAt, b.QuarantinedAt) && sameEvent(a.ClearedAt, b.ClearedAt) &&
		sameEvent(a.LiftedAt, b.LiftedAt) &&
		slices.EqualFunc(a.Crashes, b.Crashes, Crash.same)
}

// sameEvent reports whether two times are of one event, told with different ages, or of none.
func sameEvent(a, b time.Time) bool { return !isLater(a, b) && !isLater(b, a) }

// prune forgets the oldest removals.
func (l *ChangeLog) prune() {
	var gone []uint64
	for _, entry := range l.entries {
		if entry.gone {
			gone = append(gone, entry.version)
		}
	}
	if len(gone) <= keptGone {
		return
	}
	slices.Sort(gone)
	l.forgotten = gone[len(gone)-keptGone-1]
	maps.DeleteFunc(l.entries, func(_ Fingerprint, entry ledgerEntry) bool {
		return entry.gone && entry.version <= l.forgotten
	})
}

// Since returns what has changed after a version, at most so many records of it, the longest
// known first, and the version up to which that tells. Quarantined requests are told always:
// they must be sent to no worker.
func (l *ChangeLog) Since(now time.Time, version uint64, most int) (Changes, uint64) {
	if version == 0 || version < l.forgotten {
		return Changes{Full: true, Updated: NewSnapshot(now, l.Records())}, l.version
	}
	var fresh []ledgerEntry
	for _, entry := range l.entries {
		if entry.version > version {
			fresh = append(fresh, entry)
		}
	}
	slices.SortFunc(fresh, func(a, b ledgerEntry) int { return cmp.Compare(a.version, b.version) })
	return l.changes(now, fresh, most)
}

// changes describes changed entries, which are in the order of their versions.
func (l *ChangeLog) changes(now time.Time, fresh []ledgerEntry, most int) (Changes, uint64) {
	var changes Changes
	var records []Record
	upTo := l.version
	if len(fresh) > most {
		upTo = fresh[most].version - 1
	}
	gone := map[uint64]bool{}
	for _, entry := range fresh {
		switch {
		case entry.version > upTo && entry.record.Standing() != Quarantined:
		case entry.gone:
			gone[entry.version] = true
		default:
			records = append(records, entry.record)
		}
	}
	for request, entry := range l.entries {
		if gone[entry.version] {
			changes.Removed = append(changes.Removed, request)
		}
	}
	changes.Updated = NewSnapshot(now, records)
	return changes, upTo
}
