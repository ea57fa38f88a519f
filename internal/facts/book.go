package facts

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/shalefork/shalefork/internal/workers"
)

// Book holds the facts that a process knows, one for each key. It is safe for concurrent use.
type Table[F Fact[F]] struct {
	// holding counts the facts that hold, so that requests need no lock where none does.
	holding atomic.Int32
	mu      sync.Mutex
	version uint64
	entries map[workers.Incarnation]*entry[F]
}

// entry is the fact on a key, and the one that others are told, with the version of the book
// that began to tell it.
type entry[F any] struct {
	fact, told F
	version    uint64
}

// NewTable returns a book that knows nothing.
func NewTable[F Fact[F]]() *Table[F] { return &Table[F]{entries: map[workers.Incarnation]*entry[F]{}} }

// Holding returns how many facts hold.
func (b *Table[F]) ActiveCount() int { return int(b.holding.Load()) }

// Fact returns what is known on a key; false if nothing is.
func (b *Table[F]) Fact(key workers.Incarnation) (F, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if one := b.entries[key]; one != nil {
		return one.fact, true
	}
	var none F
	return none, false
}

// Merge adds a fact. It reports whether the book tells something else with that.
func (b *Table[F]) Merge(fact F) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := fact.Key()
	one := b.entries[key]
	if one != nil && !fact.Replaces(one.fact) {
		return false
	}
	if one != nil && fact.EquivalentTo(one.told) {
		one.fact = fact
		return false
	}
	news := one != nil || fact.Active()
	b.version++
	b.entries[key] = &entry[F]{fact: fact, told: fact, version: b.version}
	b.count()
	return news
}

// count counts the facts that hold. The caller holds mu.
func (b *Table[F]) count() {
	count := 0
	for _, one := range b.entries {
		if one.fact.Active() {
			count++
		}
	}
	b.holding.Store(int32(count))
}

// Since returns what the book tells since a version, at most so many facts of it, the longest known
// first, and the version up to which they tell.
func (b *Table[F]) Since(version uint64, most int) ([]F, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version == b.version {
		return nil, version
	}
	var fresh []*entry[F]
	for _, one := range b.entries {
		if one.version > version {
			fresh = append(fresh, one)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry[F]) int { return cmp.Compare(a.version, b.version) })
	upTo := b.version
	if len(fresh) > most {
		fresh = fresh[:most]
		upTo = fresh[most-1].version
	}
	facts := make([]F, 0, len(fresh))
	for _, one := range fresh {
		facts = append(facts, one.fact)
	}
	return facts, upTo
}

// Forget drops the facts that a function chooses.
func (b *Table[F]) Forget(drop func(F) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.entries, func(_ workers.Incarnation, one *entry[F]) bool { return drop(one.fact) })
	b.count()
}

// Told returns the facts that hold, by their keys, each as of when it began to be told as it is.
func (b *Table[F]) Published() []F {
	return b.list(func(one *entry[F]) (F, bool) { return one.told, one.fact.Active() })
}

// Facts returns all that is known, by their keys.
func (b *Table[F]) Facts() []F {
	return b.list(func(one *entry[F]) (F, bool) { return one.fact, true })
}

// list returns what a function takes of each entry, by their keys.
func (b *Table[F]) list(take func(*entry[F]) (F, bool)) []F {
	b.mu.Lock()
	defer b.mu.Unlock()
	facts := make([]F, 0, len(b.entries))
	for _, one := range b.entries {
		if fact, taken := take(one); taken {
			facts = append(facts, fact)
		}
	}
	slices.SortFunc(facts, func(a, b F) int { return compareKeys(a.Key(), b.Key()) })
	return facts
}

func compareKeys(a, b workers.Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartTime, b.StartTime))
}
