package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Verdict is what the book says to a request that begins.
type Verdict string

// Verdicts of Begin.
const (
	// VerdictProceed: the key is new; the record is made and must be copied.
	VerdictProceed Verdict = "proceed"
	// VerdictReplay: the answer is kept.
	VerdictReplay Verdict = "replay"
	// VerdictInProgress: the first request still runs.
	VerdictInProgress Verdict = "in-progress"
	// VerdictUnknown: the first request may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictKeyReused: the key was used with another request.
	VerdictKeyReused Verdict = "key-reused"
	// VerdictFull: no record can be kept.
	VerdictFull Verdict = "full"
	// VerdictAbsent: the key is not known, and none was made.
	VerdictAbsent Verdict = "absent"
)

// entry is a record with its times on this process's clock.
type entry struct {
	record    Record
	hash      keyspace.Hash
	expires   time.Duration
	runsUntil time.Duration
	// holder has the second copy; zero for none.
	holder Holder
	// claims counts the questions that may end in leave to run, or have.
	claims int
}

// Book holds the records of one gateway: of slices that it owns and copies of
// others'. It never drops a record before its time. Not safe for concurrent use.
type Book struct {
	limit     int
	retention time.Duration
	entries   map[Key]*entry
	// kept is the size of the answers, in bytes, and space its bound.
	kept  int
	space int
}

// NewBook returns an empty book for at most limit records, each kept for
// retention after its last change, and answers of maxKeptBytes together.
func NewBook(limit int, retention time.Duration) *Book {
	return &Book{limit: limit, retention: retention, entries: map[Key]*entry{}, space: maxKeptBytes}
}

// Len returns the number of records.
func (b *Book) Len() int {
	return len(b.entries)
}

// Question is what a request that begins asks about its key.
type Question struct {
	Key     Key
	Digest  Digest
	Attempt wire.RequestID
	// RunsFor is the longest that the request may take; after that a repeat is
	// told that its outcome is unknown.
	RunsFor time.Duration
}

// Look returns what the book knows of the key, without changing it. The same
// attempt that asks again may proceed, once its record has been copied again.
func (b *Book) Look(now time.Duration, asked Question) (Verdict, Record) {
	known := b.get(now, asked.Key)
	if known == nil {
		return VerdictAbsent, Record{}
	}
	record := known.export(now)
	switch {
	case record.Digest != asked.Digest:
		return VerdictKeyReused, record
	case record.State == StateAnswered:
		return VerdictReplay, record
	case record.State == StateRunning && record.Attempt == asked.Attempt:
		return VerdictProceed, record
	case record.State == StateRunning && record.RunsFor > 0:
		return VerdictInProgress, record
	default:
		return VerdictUnknown, record
	}
}

// Begin makes a record of a key that is not known.
func (b *Book) Begin(now time.Duration, asked Question, stamp Stamp) (Verdict, Record) {
	if len(b.entries) >= b.limit {
		return VerdictFull, Record{}
	}
	record := Record{
		Key: asked.Key, Digest: asked.Digest, Attempt: asked.Attempt, Stamp: stamp,
		State: StateRunning, KeepFor: b.retention + asked.RunsFor, RunsFor: asked.RunsFor,
	}
	b.set(now, record)
	return VerdictProceed, record
}

// Finish records how the request of the stamp ended. It returns the record to
// copy, and false if the book knows no such request.
func (b *Book) Finish(now time.Duration, key Key, stamp Stamp, answer *Answer) (Record, bool) {
	known := b.get(now, key)
	if known == nil || known.record.Stamp != stamp {
		return Record{}, false
	}
	if known.record.State == StateAnswered {
		return known.export(now), true
	}
	known.record.State = StateUnknown
	if answer != nil && b.hasSpace(answer) {
		known.record.State = StateAnswered
		known.record.Answer = answer
		b.kept += answer.size()
	}
	known.expires = now + b.retention
	return known.export(now), true
}

// Remove drops the record of a request that is proved not to have run, unless
// a later one of the key, or its end, is known.
func (b *Book) Remove(key Key, stamp Stamp) {
	known := b.entries[key]
	if known != nil && known.record.Stamp == stamp && known.record.State == StateRunning {
		b.drop(key)
	}
}

// Claim notes a question that may end in leave to run the record's request. One
// attempt may have several, if its gateway gave up waiting and asked again.
func (b *Book) Claim(key Key, stamp Stamp) {
	if known := b.entries[key]; known != nil && known.record.Stamp == stamp {
		known.claims++
	}
}

// Abandon ends a claim that got no leave. The record is dropped with the last
// claim only: another one may have got leave. It reports whether it was dropped.
func (b *Book) Abandon(key Key, stamp Stamp) bool {
	known := b.entries[key]
	if known == nil || known.record.Stamp != stamp {
		return false
	}
	known.claims--
	if known.claims > 0 || known.record.State != StateRunning {
		return false
	}
	b.drop(key)
	return true
}

// Put takes a record from another gateway. The later request wins; of the same
// request, the one that knows more. It returns false if the book is full.
func (b *Book) Put(now time.Duration, record Record) bool {
	known := b.get(now, record.Key)
	if known == nil {
		if len(b.entries) >= b.limit {
			return false
		}
		b.set(now, b.fit(record))
		return true
	}
	if supersedes(record, known.record) {
		b.set(now, b.fit(record))
		if record.Stamp == known.record.Stamp {
			b.entries[record.Key].holder = known.holder
			b.entries[record.Key].claims = known.claims
		}
	}
	return true
}

func supersedes(next, held Record) bool {
	if next.Stamp != held.Stamp {
		return next.Stamp.Newer(held.Stamp)
	}
	return next.State.rank() > held.State.rank()
}

// Copied notes which gateway has the second copy.
func (b *Book) Copied(key Key, stamp Stamp, holder Holder) {
	if known := b.entries[key]; known != nil && known.record.Stamp == stamp {
		known.holder = holder
	}
}

// CopyKnown notes that the gateway holds the record as given, if the book knows
// no more than that.
func (b *Book) CopyKnown(record Record, holder Holder) {
	known := b.entries[record.Key]
	if known != nil && known.record.Stamp == record.Stamp && known.record.State == record.State {
		known.holder = holder
	}
}

// HolderOf returns the gateway with the second copy; zero for none.
func (b *Book) HolderOf(key Key) Holder {
	if known := b.entries[key]; known != nil {
		return known.holder
	}
	return Holder{}
}

// In returns the records in the range, ordered by key.
func (b *Book) In(now time.Duration, within keyspace.Range) []Record {
	var found []Record
	for _, known := range b.entries {
		if within.Contains(known.hash) && now < known.expires {
			found = append(found, known.export(now))
		}
	}
	sortRecords(found)
	return found
}

// Uncopied returns the records in the range whose second copy is at none of
// the gateways given, ordered by key.
func (b *Book) Uncopied(now time.Duration, within keyspace.Range, present []Holder) []Record {
	var found []Record
	for _, known := range b.entries {
		if within.Contains(known.hash) && now < known.expires && !slices.Contains(present, known.holder) {
			found = append(found, known.export(now))
		}
	}
	sortRecords(found)
	return found
}

// Expire drops the records whose time is over.
func (b *Book) Expire(now time.Duration) {
	for key, known := range b.entries {
		if now >= known.expires {
			b.drop(key)
		}
	}
}

func (b *Book) get(now time.Duration, key Key) *entry {
	known := b.entries[key]
	if known != nil && now >= known.expires {
		b.drop(key)
		return nil
	}
	return known
}

func (b *Book) set(now time.Duration, record Record) {
	b.put(record.Key, &entry{
		record:    record,
		hash:      record.Key.Hash(),
		expires:   now + record.KeepFor,
		runsUntil: now + record.RunsFor,
	})
}

func (e *entry) export(now time.Duration) Record {
	record := e.record
	record.KeepFor = e.expires - now
	record.RunsFor = max(0, e.runsUntil-now)
	return record
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		if difference := strings.Compare(string(a.Key.Service), string(b.Key.Service)); difference != 0 {
			return difference
		}
		return strings.Compare(a.Key.Value, b.Key.Value)
	})
}
