// Package keytable holds what a router knows of the owners of keys.
package keytable

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Table holds the owners of all keyed services. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services atomic.Pointer[map[routing.ServiceName][]owner.Owner]
	changed  chan struct{}
	// term is that of the leader that sent the owners, and updatedAt when they last changed.
	term      owner.Term
	updatedAt time.Time
	// versions are the leader's version numbers of the owners, by service.
	versions map[routing.ServiceName]uint64
}

// New returns an empty table.
func New() *Table {
	table := &Table{changed: make(chan struct{}), versions: map[routing.ServiceName]uint64{}}
	table.services.Store(&map[routing.ServiceName][]owner.Owner{})
	return table
}

// Lookup returns the owner of a key; false if none is known.
func (t *Table) Lookup(service routing.ServiceName, key int) (owner.Owner, bool) {
	owners := (*t.services.Load())[service]
	index, found := slices.BinarySearchFunc(owners, key, func(one owner.Owner, key int) int {
		switch {
		case one.Keys.To < key:
			return -1
		case one.Keys.From > key:
			return 1
		}
		return 0
	})
	if !found {
		return owner.Owner{}, false
	}
	return owners[index], true
}

// Replace sets all owners of a service, as sent by a leader of the term. Owners of an earlier
// leader are ignored.
func (t *Table) Replace(term owner.Term, service routing.ServiceName, owners []owner.Owner) {
	t.update(term, service, func([]owner.Owner) []owner.Owner { return slices.Clone(owners) })
}

// Owners returns the owners of a service, which must not be changed, with their term and version.
func (t *Table) Owners(service routing.ServiceName) (owners []owner.Owner, term owner.Term, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return (*t.services.Load())[service], t.term, t.versions[service]
}

// Change is what a leader sends about the owners of a service.
type Change struct {
	Term owner.Term
	// Version counts the leader's changes of the service.
	Version uint64
	// Full means that Owners are all owners of the keys in Range, or of all keys if that is nil.
	// Otherwise they are those of some keys, and the others stay.
	Full  bool
	Range *owner.KeyRange
	// Partial means that more changes follow before the table is at Version.
	Partial bool
	// Owners are sorted by their keys.
	Owners []owner.Owner
}

// Apply applies a change. It may arrive by another path than the previous one: changes older than
// the table are ignored.
func (t *Table) Apply(service routing.ServiceName, change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change.Term < t.term || (change.Term == t.term && change.Version < t.versions[service]) {
		return
	}
	t.set(change.Term, service, change.apply)
	if !change.Partial {
		t.versions[service] = change.Version
	}
}

// apply returns the owners with the change applied.
func (c Change) apply(owners []owner.Owner) []owner.Owner {
	switch {
	case !c.Full:
		return overlay(owners, keyRanges(c.Owners), c.Owners)
	case c.Range != nil:
		return overlay(owners, []owner.KeyRange{*c.Range}, c.Owners)
	}
	return slices.Clone(c.Owners)
}

// keyRanges returns the key ranges of owners.
func keyRanges(owners []owner.Owner) []owner.KeyRange {
	ranges := make([]owner.KeyRange, 0, len(owners))
	for _, o := range owners {
		ranges = append(ranges, o.Keys)
	}
	return ranges
}

// overlay returns the owners with some key ranges removed, and with changes inserted. All are
// sorted by their keys. It takes a single pass over each, however many ranges change.
func overlay(owners []owner.Owner, replaced []owner.KeyRange, changes []owner.Owner) []owner.Owner {
	merged := make([]owner.Owner, 0, len(owners)+2*len(changes))
	next := 0
	add := func(o owner.Owner) {
		for next < len(changes) && changes[next].Keys.From < o.Keys.From {
			merged = append(merged, changes[next])
			next++
		}
		merged = append(merged, o)
	}
	index := 0
	for _, o := range owners {
		for index < len(replaced) && replaced[index].To < o.Keys.From {
			index++
		}
		from := o.Keys.From
		for at := index; at < len(replaced) && replaced[at].From <= o.Keys.To; at++ {
			if left := replaced[at].From - 1; left >= from {
				add(withKeys(o, from, left))
			}
			from = max(from, replaced[at].To+1)
		}
		if from <= o.Keys.To {
			add(withKeys(o, from, o.Keys.To))
		}
	}
	return append(merged, changes[next:]...)
}

// withKeys returns a copy of an owner with other keys.
func withKeys(o owner.Owner, from, to int) owner.Owner {
	o.Keys = owner.KeyRange{From: from, To: to}
	return o
}

// Clip returns the owners of some keys, their ranges cut at the ends of those keys.
func Clip(owners []owner.Owner, keys owner.KeyRange) []owner.Owner {
	var clipped []owner.Owner
	for _, o := range owners {
		from, to := max(o.Keys.From, keys.From), min(o.Keys.To, keys.To)
		if from <= to {
			clipped = append(clipped, withKeys(o, from, to))
		}
	}
	return clipped
}

func (t *Table) update(term owner.Term, service routing.ServiceName, change func([]owner.Owner) []owner.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term {
		return
	}
	t.set(term, service, change)
	delete(t.versions, service)
}

// set changes the owners of a service. The caller holds mu.
func (t *Table) set(term owner.Term, service routing.ServiceName, change func([]owner.Owner) []owner.Owner) {
	if term > t.term {
		clear(t.versions)
	}
	t.term = term
	t.updatedAt = clock.Now()
	fresh := map[routing.ServiceName][]owner.Owner{}
	for name, owners := range *t.services.Load() {
		fresh[name] = owners
	}
	fresh[service] = change(fresh[service])
	t.services.Store(&fresh)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Age returns the term of the table, and the time since its last change.
func (t *Table) Age() (owner.Term, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term, clock.Since(t.updatedAt)
}

// Difference returns the key ranges whose owner differs between before and after, with their owners
// in after.
func Difference(before, after []owner.Owner) []owner.Owner {
	var changes []owner.Owner
	index := 0
	for _, current := range after {
		from := current.Keys.From
		for from <= current.Keys.To {
			for index < len(before) && before[index].Keys.To < from {
				index++
			}
			if index == len(before) {
				changes = appendChange(changes, current, owner.KeyRange{From: from, To: current.Keys.To})
				break
			}
			to := min(current.Keys.To, before[index].Keys.To)
			old := before[index]
			if old.Keys.From > from || old.Worker != current.Worker || old.Moving != current.Moving || old.Address != current.Address {
				if old.Keys.From > from {
					to = min(to, old.Keys.From-1)
				}
				changes = appendChange(changes, current, owner.KeyRange{From: from, To: to})
			}
			from = to + 1
		}
	}
	return changes
}

func appendChange(changes []owner.Owner, current owner.Owner, keys owner.KeyRange) []owner.Owner {
	if last := len(changes) - 1; last >= 0 && changes[last].Keys.To+1 == keys.From &&
		changes[last].Worker == current.Worker && changes[last].Moving == current.Moving {
		changes[last].Keys.To = keys.To
		return changes
	}
	current.Keys = keys
	return append(changes, current)
}
