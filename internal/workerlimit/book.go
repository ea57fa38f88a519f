package workerlimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// endedMemory is for how long it is remembered that a limit has ended: answers that named it may
// still be on their way to this process.
const endedMemory = 30 * time.Second

// Book holds what a process knows of workers' limits. It is safe for concurrent use.
type Book struct {
	// limited counts the workers that name a limit, so that requests need no lock where none does.
	limited atomic.Int32
	mu      sync.Mutex
	version uint64
	entries map[workers.ID]*entry
}

// entry is the fact on a worker, and the one that others are told, with the version of the book
// that began to tell it.
type entry struct {
	fact, told Fact
	version    uint64
}

// NewBook returns a book that knows of no limit.
func NewBook() *Book { return &Book{entries: map[workers.ID]*entry{}} }

// Limited returns how many workers name a limit.
func (b *Book) Limited() int { return int(b.limited.Load()) }

// Rate returns how many requests a second a worker takes from all routers together; false if it
// names no limit.
func (b *Book) Rate(life workers.Life) (perSecond float64, limited bool) {
	if b.Limited() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.entries[life.ID]
	if one == nil || one.fact.Ended || !one.fact.isOf(life) {
		return 0, false
	}
	return one.fact.Rate, true
}

// Fact returns what is known of a worker's limit; false if it never named one.
func (b *Book) Fact(life workers.Life) (Fact, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.entries[life.ID]
	if one == nil || !one.fact.isOf(life) {
		return Fact{}, false
	}
	return one.fact, true
}

// Merge adds a fact. It reports whether the book tells something else of the worker with that.
func (b *Book) Merge(fact Fact) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.entries[fact.Worker.ID]
	if one != nil && !fact.replaces(one.fact) {
		return false
	}
	if one != nil && fact.tellsSame(one.told) {
		one.fact = fact
		return false
	}
	news := one != nil || !fact.Ended
	b.version++
	b.entries[fact.Worker.ID] = &entry{fact: fact, told: fact, version: b.version}
	b.count()
	return news
}

// count counts the workers that name a limit. The caller holds mu.
func (b *Book) count() {
	count := 0
	for _, one := range b.entries {
		if !one.fact.Ended {
			count++
		}
	}
	b.limited.Store(int32(count))
}

// Since returns what the book tells since a version, at most so many facts of it, the longest known
// first, and the version up to which they tell.
func (b *Book) Since(version uint64, most int) ([]Fact, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version == b.version {
		return nil, version
	}
	var fresh []*entry
	for _, one := range b.entries {
		if one.version > version {
			fresh = append(fresh, one)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	upTo := b.version
	if len(fresh) > most {
		fresh = fresh[:most]
		upTo = fresh[most-1].version
	}
	facts := make([]Fact, 0, len(fresh))
	for _, one := range fresh {
		facts = append(facts, one.fact)
	}
	return facts, upTo
}

// Forget drops what is known of workers that are gone, and limits that ended long ago.
func (b *Book) Forget(now time.Time, gone func(workers.ID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.entries, func(id workers.ID, one *entry) bool {
		return gone(id) || (one.fact.Ended && now.Sub(one.fact.At) > endedMemory)
	})
	b.count()
}

// Named returns the limits that workers name now, by the workers' ids, each as of when it began to be
// told as it is.
func (b *Book) Named() []Fact {
	b.mu.Lock()
	defer b.mu.Unlock()
	var facts []Fact
	for _, one := range b.entries {
		if !one.fact.Ended {
			facts = append(facts, one.told)
		}
	}
	slices.SortFunc(facts, byWorker)
	return facts
}

// Facts returns all that is known, by the workers' ids.
func (b *Book) Facts() []Fact {
	b.mu.Lock()
	defer b.mu.Unlock()
	facts := make([]Fact, 0, len(b.entries))
	for _, one := range b.entries {
		facts = append(facts, one.fact)
	}
	slices.SortFunc(facts, byWorker)
	return facts
}

func byWorker(a, b Fact) int { return cmp.Compare(a.Worker.ID, b.Worker.ID) }
