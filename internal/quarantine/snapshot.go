package quarantine

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// StoreKey is where the book is stored, under the prefix of the system's own keys.
func StoreKey(prefix string) string { return prefix + "suspects" }

// mostTold is how many crashes of a quarantined request are told.
const mostTold = 8

// Snapshot is a book as it is stored and told. Times are ages as of its writing: processes do
// not share a clock. How old a stored one is tells the time of day, which may be off by seconds.
type Snapshot struct {
	// WrittenMillis is the time of day of the writing, in milliseconds since 1970.
	WrittenMillis int64           `json:"t"`
	Records       []SnapshotEntry `json:"r"`
}

// SnapshotEntry is one record.
type SnapshotEntry struct {
	Attempt
	// For is the only caller whose request is meant; zero: everybody's.
	OnlyCaller netip.Addr      `json:"o,omitzero"`
	Crashes    []SnapshotCrash `json:"x"`
	// Held says that the request is quarantined.
	Quarantined bool `json:"h,omitempty"`
	// HeldMillis is for how long the request has been quarantined, or since when it was, and
	// ClearedMillis and LiftedMillis since when it was cleared and lifted; zero: never. A negative one
	// is later than the writing: an operator has changed what a leader wrote.
	QuarantinedMillis int64 `json:"m,omitempty"`
	ClearedMillis     int64 `json:"k,omitempty"`
	LiftedMillis      int64 `json:"v,omitempty"`
}

// SnapshotCrash is one crash, AgeMillis ago.
type SnapshotCrash struct {
	Worker workers.ID `json:"w"`
	// Born tells the life of the worker; zero if it tells none.
	Born      workers.StartTime `json:"b,omitempty"`
	AgeMillis int64             `json:"a"`
	// Caller asked.
	Caller netip.Addr `json:"c,omitzero"`
}

// crashAt returns the crash that is described, as of a time.
func (c SnapshotCrash) crashAt(now time.Time) Crash {
	at := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
	return Crash{Worker: c.Worker, Born: c.Born, Caller: c.Caller, At: at}
}

// describe returns a crash as it is told at a time.
func (c Crash) describe(now time.Time) SnapshotCrash {
	return SnapshotCrash{Worker: c.Worker, Born: c.Born, Caller: c.Caller, AgeMillis: now.Sub(c.At).Milliseconds()}
}

// NewSnapshot describes records as of a time.
func NewSnapshot(now time.Time, records []Record) Snapshot {
	snapshot := Snapshot{WrittenMillis: now.UnixMilli(), Records: make([]SnapshotEntry, 0, len(records))}
	for _, record := range records {
		entry := SnapshotEntry{
			Attempt: record.Attempt, OnlyCaller: record.OnlyCaller, Quarantined: record.Standing() == Quarantined,
			QuarantinedMillis: age(now, record.QuarantinedAt), ClearedMillis: age(now, record.ClearedAt), LiftedMillis: age(now, record.LiftedAt),
		}
		for _, crash := range record.told() {
			entry.Crashes = append(entry.Crashes, crash.describe(now))
		}
		snapshot.Records = append(snapshot.Records, entry)
	}
	return snapshot
}

// age returns how long ago an event was, in milliseconds; zero for one that never was.
func age(now, event time.Time) int64 {
	if event.IsZero() {
		return 0
	}
	return max(1, now.Sub(event).Milliseconds())
}

// aged returns when an event was.
func aged(now time.Time, age int64) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// told returns the crashes that others are told of: of a quarantined request's, the first and the
// last ones.
func (r Record) told() []Crash {
	if len(r.Crashes) <= mostTold || r.Standing() != Quarantined {
		return r.Crashes
	}
	return slices.Concat(r.Crashes[:mostTold/2], r.Crashes[len(r.Crashes)-mostTold/2:])
}

// DecodeSnapshot reads a stored snapshot.
func DecodeSnapshot(value []byte) (Snapshot, error) {
	var snapshot Snapshot
	err := json.Unmarshal(value, &snapshot)
	return snapshot, Error.Wrap(err)
}

// Encode writes the snapshot as it is stored.
func (s Snapshot) Encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // plain data
	}
	return value
}

// Lift returns the snapshot with a request lifted at a time of day, as an operator stores it; false
// if nothing is held against the request.
func (s Snapshot) Lift(now time.Time, request Fingerprint) (Snapshot, bool) {
	index := slices.IndexFunc(s.Records, func(one SnapshotEntry) bool { return one.Request == request && len(one.Crashes) > 0 })
	if index < 0 {
		return s, false
	}
	s.Records = slices.Clone(s.Records)
	entry := &s.Records[index]
	entry.LiftedMillis = entry.newest(s.WrittenMillis - now.UnixMilli())
	entry.Crashes, entry.Quarantined = nil, false
	return s, true
}

// newest returns the least of an age and those of what the entry tells, so that the operator's clock
// may be behind the leader's. It is not zero.
func (e SnapshotEntry) newest(age int64) int64 {
	for _, crash := range e.Crashes {
		age = min(age, crash.AgeMillis)
	}
	if e.QuarantinedMillis > 0 {
		age = min(age, e.QuarantinedMillis)
	}
	if age == 0 {
		return -1
	}
	return age
}

// Told returns the records of a snapshot that was just written elsewhere.
func (s Snapshot) Received(now time.Time) []Record { return s.records(now) }

// Stored returns the records of a snapshot that was written a while ago.
func (s Snapshot) Stored(now time.Time) []Record {
	old := time.Duration(max(0, now.UnixMilli()-s.WrittenMillis)) * time.Millisecond
	return s.records(now.Add(-old))
}

// records returns the records of a snapshot that was written at a time.
func (s Snapshot) records(written time.Time) []Record {
	list := make([]Record, 0, len(s.Records))
	for _, entry := range s.Records {
		record := Record{Attempt: entry.Attempt, OnlyCaller: entry.OnlyCaller}
		for _, crash := range entry.Crashes {
			record.Crashes = append(record.Crashes, crash.crashAt(written))
		}
		record.QuarantinedAt = aged(written, entry.QuarantinedMillis)
		record.ClearedAt = aged(written, entry.ClearedMillis)
		record.LiftedAt = aged(written, entry.LiftedMillis)
		if entry.Quarantined && record.Standing() != Quarantined {
			record.IsolatedAt = record.QuarantinedAt
		}
		list = append(list, record)
	}
	return list
}
