package facts

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/shalefork/shalefork/internal/workers"
)

// Limits of a table, whose facts other processes report as well.
const (
	// maxEntries is many times the number of workers that are known at a time.
	maxEntries = 1 << 16
	// maxIDBytes is more than the store permits in the key of a worker's entry.
	maxIDBytes = 256
)

// Table holds the facts that a process knows, one for each key. It is safe for concurrent use.
type Table[F Fact[F]] struct {
	// activeCount counts the active facts, so that requests take no lock while there are none.
	activeCount atomic.Int32
	mu          sync.Mutex
	version     uint64
	entries     map[workers.Incarnation]*tableEntry[F]
}

// tableEntry is the current fact for a key, and the published one, which is equivalent to it, with
// the version of the table that published it.
type tableEntry[F any] struct {
	fact, published F
	version         uint64
}

// NewTable returns an empty table.
func NewTable[F Fact[F]]() *Table[F] {
	return &Table[F]{entries: map[workers.Incarnation]*tableEntry[F]{}}
}

// ActiveCount returns the number of active facts.
func (t *Table[F]) ActiveCount() int { return int(t.activeCount.Load()) }

// Fact returns the current fact for a key; false if there is none.
func (t *Table[F]) Fact(key workers.Incarnation) (F, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[key]; entry != nil {
		return entry.fact, true
	}
	var none F
	return none, false
}

// Merge adds a fact. It reports whether the published facts have changed: a fact that is replaced by
// the current one, or equivalent to the published one, does not change them, nor does the end of
// something unknown.
func (t *Table[F]) Merge(fact F) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := fact.Key()
	entry := t.entries[key]
	if entry != nil && !fact.Replaces(entry.fact) {
		return false
	}
	if entry == nil && (len(t.entries) >= maxEntries || len(key.ID) > maxIDBytes) {
		return false // it was not reported by a router that works
	}
	if entry != nil && fact.EquivalentTo(entry.published) {
		entry.fact = fact
		return false
	}
	changed := entry != nil || fact.Active()
	t.version++
	t.entries[key] = &tableEntry[F]{fact: fact, published: fact, version: t.version}
	t.updateActiveCount()
	return changed
}

// updateActiveCount recounts the active facts. The caller holds mu.
func (t *Table[F]) updateActiveCount() {
	count := 0
	for _, entry := range t.entries {
		if entry.fact.Active() {
			count++
		}
	}
	t.activeCount.Store(int32(count))
}

// Since returns the current facts for the keys whose published fact has changed after a version, in
// the order of publication and at most limit of them, and the version that they lead up to.
func (t *Table[F]) Since(version uint64, limit int) ([]F, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == t.version {
		return nil, version
	}
	var changed []*tableEntry[F]
	for _, entry := range t.entries {
		if entry.version > version {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, func(a, b *tableEntry[F]) int { return cmp.Compare(a.version, b.version) })
	upTo := t.version
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].version
	}
	facts := make([]F, 0, len(changed))
	for _, entry := range changed {
		facts = append(facts, entry.fact)
	}
	return facts, upTo
}

// Forget removes the facts for which drop returns true.
func (t *Table[F]) Forget(drop func(F) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.entries, func(_ workers.Incarnation, entry *tableEntry[F]) bool { return drop(entry.fact) })
	t.updateActiveCount()
}

// Published returns the published facts of the keys whose current fact is active, sorted by key.
// Their times are those of publication: later equivalent facts do not change them.
func (t *Table[F]) Published() []F {
	return t.list(func(entry *tableEntry[F]) (F, bool) { return entry.published, entry.fact.Active() })
}

// Facts returns all current facts, also inactive ones, sorted by key.
func (t *Table[F]) Facts() []F {
	return t.list(func(entry *tableEntry[F]) (F, bool) { return entry.fact, true })
}

// list returns what choose returns for each entry for which it returns true, sorted by key.
func (t *Table[F]) list(choose func(*tableEntry[F]) (F, bool)) []F {
	t.mu.Lock()
	defer t.mu.Unlock()
	facts := make([]F, 0, len(t.entries))
	for _, entry := range t.entries {
		if fact, chosen := choose(entry); chosen {
			facts = append(facts, fact)
		}
	}
	slices.SortFunc(facts, func(a, b F) int { return compareKeys(a.Key(), b.Key()) })
	return facts
}

func compareKeys(a, b workers.Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartTime, b.StartTime))
}
