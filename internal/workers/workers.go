// Package workers keeps the list of workers as they announce themselves.
package workers

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
)

// ID names a worker. A worker may start again under the ID that it had.
type ID string

// State is a worker's own word.
type State string

// States of a worker.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Worker is one announced worker.
type Worker struct {
	ID      ID
	Service routing.ServiceName
	Address string
	Zone    string
	// Slots is how many requests it runs at once.
	Slots int
	State State
	// WarmAt is when it stops being slow after its start.
	WarmAt time.Time
	// Born is when this life of the worker began; zero if that is not told.
	StartTime StartTime
}

// Life returns the life that the announcement is of.
func (w Worker) Incarnation() Incarnation { return Incarnation{ID: w.ID, StartTime: w.StartTime} }

// Directory is the list of workers. It is safe for concurrent use.
type Directory struct {
	mu        sync.RWMutex
	byID      map[ID]Worker
	byService map[routing.ServiceName][]Worker
	// usable are those of them that are ready and not in an evacuated zone.
	usable  map[routing.ServiceName][]Worker
	version uint64
	// goneAt remembers when a worker's entry was seen to be gone.
	goneAt map[ID]time.Time
	// listed says that a list was read, and missed is since when a worker that never was in
	// one is asked for.
	listed bool
	missed map[ID]time.Time
	// drainingSince is when the first process heard that a worker drains.
	drainingSince map[ID]time.Time
	// leaving are the lives that say in their answers that they leave, and since when that is known.
	leaving map[Incarnation]time.Time
	// unreadable are the workers whose entries stand, but name no worker now.
	unreadable map[ID]bool
	// before are the lives of announced workers that the present ones replaced.
	before map[ID]Worker
	// own and told are the waits for entries that may have lapsed only, as this process and
	// as others did not reach the service; kept are the workers that are waited for.
	own, told   wait
	kept        map[ID]kept
	evacuations evacuations
	changed     chan struct{}
	// expired is called with the workers that are taken to be gone since their entries
	// did not come back; nil: nobody wants to know.
	expired func([]ID)
}

// Vanished are the workers whose entries went with a change of the list.
type Vanished struct {
	// Gone have left.
	Gone []ID
	// Kept stay for now, since their entries may have lapsed only.
	Kept []ID
}

// NewDirectory returns an empty list.
func NewDirectory() *Directory {
	return &Directory{
		byID:          map[ID]Worker{},
		byService:     map[routing.ServiceName][]Worker{},
		goneAt:        map[ID]time.Time{},
		drainingSince: map[ID]time.Time{},
		leaving:       map[Incarnation]time.Time{},
		before:        map[ID]Worker{},
		unreadable:    map[ID]bool{},
		kept:          map[ID]kept{},
		missed:        map[ID]time.Time{},
		evacuations:   evacuations{},
		changed:       make(chan struct{}),
	}
}

// listAge is how old what a list tells may be: when it is read after a time without
// news, a worker may have been draining for that long. A worker that is gone from it
// may be back soon: entries go while the service is disturbed.
const listAge = time.Second

// ListedSince returns since when what a list tells may stand, if all was known at a time before:
// a list does not tell when what is new in it happened.
func (d *Directory) EarliestListChange(since time.Time) time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	learned := clock.Now().Add(-listAge)
	if d.listed && since.Before(learned) {
		learned = since
	}
	return learned
}

// Replace sets the whole list, and returns which entries went with that: since is the last time
// at which all was known before.
func (d *Directory) Replace(list []Worker, learned LearnedTimes, since time.Time) Vanished {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if !d.listed || since.After(now) {
		since = now
	}
	fresh := map[ID]Worker{}
	for _, worker := range list {
		d.beginLife(worker)
		fresh[worker.ID] = worker
		delete(d.kept, worker.ID)
	}
	var vanished Vanished
	for id := range d.byID {
		if _, stays := fresh[id]; stays {
			continue
		}
		if d.vanish(id, since, &vanished) {
			fresh[id] = d.byID[id]
		}
	}
	d.byID, d.listed = fresh, true
	d.noteDraining(func(id ID) time.Time { return learned.at(id, now) })
	d.index()
	return vanished
}

// Update adds, changes and removes workers, and returns which entries went with that.
func (d *Directory) Update(changed []Worker, gone []ID, learned LearnedTimes) Vanished {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	for _, worker := range changed {
		d.beginLife(worker)
		d.byID[worker.ID] = worker
		delete(d.goneAt, worker.ID)
		delete(d.kept, worker.ID)
	}
	var vanished Vanished
	for _, id := range gone {
		if _, known := d.byID[id]; known && !d.vanish(id, learned.at(id, now), &vanished) {
			delete(d.byID, id)
		}
	}
	d.noteDraining(func(id ID) time.Time { return learned.at(id, now) })
	d.index()
	return vanished
}

// beginLife forgets what was noted of a worker that has started again: that it drained ended with
// the life before, and a drain of this one counts from its own beginning. The caller holds mu.
func (d *Directory) beginLife(worker Worker) {
	if before, known := d.byID[worker.ID]; known && before.StartTime != worker.StartTime {
		delete(d.drainingSince, worker.ID)
		d.before[worker.ID] = before
	}
}

// noteDraining notes since when workers drain that were not seen to before.
func (d *Directory) noteDraining(since func(ID) time.Time) {
	d.noteLeaving()
	for id, worker := range d.byID {
		if _, noted := d.drainingSince[id]; !noted && worker.State == StateDraining {
			d.drainingSince[id] = since(id)
		}
	}
	for id := range d.drainingSince {
		if _, announced := d.byID[id]; !announced {
			delete(d.drainingSince, id)
		}
	}
	for id := range d.before {
		if _, announced := d.byID[id]; !announced {
			delete(d.before, id)
		}
	}
}

// goneMemory is how long the end of an entry is remembered.
const goneMemory = 2 * time.Minute

// index sorts the workers by service.
func (d *Directory) index() {
	d.byService = map[routing.ServiceName][]Worker{}
	d.usable = map[routing.ServiceName][]Worker{}
	for _, worker := range d.byID {
		d.byService[worker.Service] = append(d.byService[worker.Service], worker)
		if _, evacuated := d.evacuations[worker.Zone]; !evacuated && worker.State == StateReady {
			d.usable[worker.Service] = append(d.usable[worker.Service], worker)
		}
	}
	forget(d.goneAt)
	forget(d.missed)
	d.forgetLeaving()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// forget removes what lies too long back.
func forget(times map[ID]time.Time) {
	for id, at := range times {
		if clock.Since(at) > goneMemory {
			delete(times, id)
		}
	}
}

// Get returns a worker; false if it is not announced.
func (d *Directory) Get(id ID) (Worker, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	worker, known := d.byID[id]
	return worker, known
}

// Before returns the life of an announced worker that its present one replaced, as it was
// announced last; false if there is none, or its entry went first.
func (d *Directory) PreviousIncarnation(id ID) (Worker, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	worker, known := d.before[id]
	return worker, known
}

// GoneAt returns when a worker's entry was seen to be gone; false if that is not known.
func (d *Directory) GoneAt(id ID) (time.Time, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, known := d.goneAt[id]
	return at, known
}

// GoneFor returns for how long a worker has had no entry: since that was seen to go or, if
// it was never seen, since the worker was first asked for here. It is zero while no list was
// read. An owner of keys that left before this process began got requests without end
// without the second.
func (d *Directory) GoneFor(id ID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, announced := d.byID[id]; announced || !d.listed {
		return 0
	}
	if at, gone := d.goneAt[id]; gone {
		return clock.Since(at)
	}
	if _, noted := d.missed[id]; !noted {
		d.missed[id] = clock.Now()
	}
	return clock.Since(d.missed[id])
}

// Of returns the workers of a service in no order, and the list's version. The
// slice must not be changed.
func (d *Directory) ByService(service routing.ServiceName) ([]Worker, uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service], d.version
}

// Usable returns the workers of a service that new work may go to, in no order, and the
// list's version. The slice must not be changed.
func (d *Directory) Usable(service routing.ServiceName) ([]Worker, uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.usable[service], d.version
}

// Count returns how many workers are announced.
func (d *Directory) Count() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.byID)
}

// Cold returns how many workers warm up.
func (d *Directory) ColdCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	count, now := 0, clock.Now()
	for _, worker := range d.byID {
		if now.Before(worker.WarmAt) {
			count++
		}
	}
	return count
}

// Changed is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// DrainingFor returns how long a worker has been known to drain, to the first process that heard: by
// its entry, or by its answers.
func (d *Directory) DrainingFor(id ID) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	since, draining := d.drainingSince[id]
	if _, announced := d.byID[id]; !announced {
		since, draining = d.saidLeaving(id)
	}
	if !draining {
		return 0
	}
	return clock.Since(since)
}
