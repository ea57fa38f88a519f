package quarantine

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// StoreKey returns the key under which the snapshot is stored, below the prefix of the system's own
// keys.
func StoreKey(prefix string) string { return prefix + "suspects" }

// maxSnapshotCrashes bounds the crashes of a quarantined request in a snapshot.
const maxSnapshotCrashes = 8

// Snapshot is the encoding of a tracker's records that is stored and sent. Times are ages as of its
// writing: processes do not share a clock. The age of a stored one follows from the time of day,
// which may be off by seconds.
type Snapshot struct {
	// WrittenMillis is the time of writing by the writer's clock, in milliseconds since 1970.
	WrittenMillis int64           `json:"t"`
	Records       []SnapshotEntry `json:"r"`
}

// SnapshotEntry is the encoding of one record.
type SnapshotEntry struct {
	Attempt
	// OnlyCaller is the caller whose requests the record is about; zero: those of all callers.
	OnlyCaller netip.Addr      `json:"o,omitzero"`
	Crashes    []SnapshotCrash `json:"x"`
	// Quarantined says that the request is quarantined.
	Quarantined bool `json:"h,omitempty"`
	// QuarantinedMillis, ClearedMillis and LiftedMillis are how long ago the request was last
	// quarantined, cleared and lifted; zero: never. A negative one is later than the writing: an
	// operator has changed what a leader wrote.
	QuarantinedMillis int64 `json:"m,omitempty"`
	ClearedMillis     int64 `json:"k,omitempty"`
	LiftedMillis      int64 `json:"v,omitempty"`
}

// SnapshotCrash is the encoding of one crash, which was AgeMillis ago.
type SnapshotCrash struct {
	Worker workers.ID `json:"w"`
	// StartTime identifies the incarnation of the worker; zero if the worker reports none.
	StartTime workers.StartTime `json:"b,omitempty"`
	AgeMillis int64             `json:"a"`
	// Caller is the one whose request was in progress.
	Caller netip.Addr `json:"c,omitzero"`
}

// crash decodes the crash, whose age is as of now.
func (c SnapshotCrash) crash(now time.Time) Crash {
	at := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
	return Crash{Worker: c.Worker, StartTime: c.StartTime, Caller: c.Caller, At: at}
}

// toSnapshot encodes the crash as of now.
func (c Crash) toSnapshot(now time.Time) SnapshotCrash {
	return SnapshotCrash{Worker: c.Worker, StartTime: c.StartTime, Caller: c.Caller, AgeMillis: now.Sub(c.At).Milliseconds()}
}

// NewSnapshot encodes records as of now.
func NewSnapshot(now time.Time, records []Record) Snapshot {
	snapshot := Snapshot{WrittenMillis: now.UnixMilli(), Records: make([]SnapshotEntry, 0, len(records))}
	for _, record := range records {
		entry := SnapshotEntry{
			Attempt: record.Attempt, OnlyCaller: record.OnlyCaller, Quarantined: record.Standing() == Quarantined,
			QuarantinedMillis: ageMillis(now, record.QuarantinedAt), ClearedMillis: ageMillis(now, record.ClearedAt), LiftedMillis: ageMillis(now, record.LiftedAt),
		}
		for _, crash := range record.snapshotCrashes() {
			entry.Crashes = append(entry.Crashes, crash.toSnapshot(now))
		}
		snapshot.Records = append(snapshot.Records, entry)
	}
	return snapshot
}

// ageMillis returns how long ago an event was, in milliseconds and at least 1; zero if it never
// happened.
func ageMillis(now, event time.Time) int64 {
	if event.IsZero() {
		return 0
	}
	return max(1, now.Sub(event).Milliseconds())
}

// timeFromAge returns the time of an event from its age in milliseconds; zero if it never happened.
func timeFromAge(now time.Time, age int64) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// snapshotCrashes returns the crashes that are part of a snapshot: of a quarantined request with
// many, only the first and the last ones.
func (r Record) snapshotCrashes() []Crash {
	if len(r.Crashes) <= maxSnapshotCrashes || r.Standing() != Quarantined {
		return r.Crashes
	}
	return slices.Concat(r.Crashes[:maxSnapshotCrashes/2], r.Crashes[len(r.Crashes)-maxSnapshotCrashes/2:])
}

// DecodeSnapshot decodes a stored snapshot.
func DecodeSnapshot(value []byte) (Snapshot, error) {
	var snapshot Snapshot
	err := json.Unmarshal(value, &snapshot)
	return snapshot, Error.Wrap(err)
}

// Encode encodes the snapshot for storage.
func (s Snapshot) Encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // not reached: plain data can always be marshaled
	}
	return value
}

// Lift returns the snapshot with a request lifted at now, by the operator's clock, for an operator
// to store; false if no crashes count against the request.
func (s Snapshot) Lift(now time.Time, request Fingerprint) (Snapshot, bool) {
	index := slices.IndexFunc(s.Records, func(one SnapshotEntry) bool { return one.Request == request && len(one.Crashes) > 0 })
	if index < 0 {
		return s, false
	}
	s.Records = slices.Clone(s.Records)
	entry := &s.Records[index]
	entry.LiftedMillis = entry.clampAge(s.WrittenMillis - now.UnixMilli())
	entry.Crashes, entry.Quarantined = nil, false
	return s, true
}

// clampAge returns the smallest of an age and those of the entry's crashes and quarantine, so that
// the operator's clock may be behind the leader's. The result is never zero.
func (e SnapshotEntry) clampAge(age int64) int64 {
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

// ReceivedRecords returns the records of a snapshot that another process has just written.
func (s Snapshot) ReceivedRecords(now time.Time) []Record { return s.records(now) }

// StoredRecords returns the records of a snapshot that was written some time ago.
func (s Snapshot) StoredRecords(now time.Time) []Record {
	old := time.Duration(max(0, now.UnixMilli()-s.WrittenMillis)) * time.Millisecond
	return s.records(now.Add(-old))
}

// records returns the records of a snapshot that was written at a time.
func (s Snapshot) records(written time.Time) []Record {
	list := make([]Record, 0, len(s.Records))
	for _, entry := range s.Records {
		record := Record{Attempt: entry.Attempt, OnlyCaller: entry.OnlyCaller}
		for _, crash := range entry.Crashes {
			record.Crashes = append(record.Crashes, crash.crash(written))
		}
		record.QuarantinedAt = timeFromAge(written, entry.QuarantinedMillis)
		record.ClearedAt = timeFromAge(written, entry.ClearedMillis)
		record.LiftedAt = timeFromAge(written, entry.LiftedMillis)
		if entry.Quarantined && record.Standing() != Quarantined {
			record.IsolatedAt = record.QuarantinedAt
		}
		list = append(list, record)
	}
	return list
}
