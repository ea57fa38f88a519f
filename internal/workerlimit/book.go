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

// Named takes a limit that an answer named. It reports whether that was news.
func (b *Book) Named(now time.Time, life workers.Life, perSecond float64) bool {
	return b.Merge(Fact{Worker: life, Rate: perSecond, At: now})
}

// Unnamed takes an answer that named no limit, to a request that left at a time. It reports
// whether a limit has ended with that.
func (b *Book) Unnamed(sent time.Time, life workers.Life) bool {
	if _, limited := b.Rate(life); !limited {
		return false
	}
	return b.Merge(Fact{Worker: life, Ended: true, At: sent})
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

// Forget drops what is known of workers that are gone, and limits that ended long ago.
func (b *Book) Forget(now time.Time, gone func(workers.ID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.entries, func(id workers.ID, one *entry) bool {
		return gone(id) || (one.fact.Ended && now.Sub(one.fact.At) > endedMemory)
	})
	b.count()
}

// Limits returns the facts on workers that name a limit, by their ids.
func (b *Book) Limits() []Fact {
	b.mu.Lock()
	defer b.mu.Unlock()
	var facts []Fact
	for _, one := range b.entries {
		if !one.fact.Ended {
			facts = append(facts, one.fact)
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Worker.ID, b.Worker.ID) })
	return facts
}
