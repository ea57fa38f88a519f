// Package workers keeps the list of workers as they announce themselves with entries in the store.
package workers

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
)

// ID identifies a worker. A worker may restart with the same ID.
type ID string

// State is a worker's state as it reports it itself.
type State string

// States of a worker.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Worker is an announced worker.
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
	// StartTime is when this incarnation of the worker started; zero if it is not reported.
	StartTime StartTime
}

// Incarnation returns the incarnation that announced itself.
func (w Worker) Incarnation() Incarnation { return Incarnation{ID: w.ID, StartTime: w.StartTime} }

// Directory is the list of workers. It is safe for concurrent use.
type Directory struct {
	mu        sync.RWMutex
	byID      map[ID]Worker
	byService map[routing.ServiceName][]Worker
	// usable are those workers that are ready and not in an evacuated zone.
	usable  map[routing.ServiceName][]Worker
	version uint64
	// goneAt is when a worker's entry was found to have vanished.
	goneAt map[ID]time.Time
	// listed is set once a list has been read. firstLookup is when a worker that was in no list was
	// first looked up.
	listed      bool
	firstLookup map[ID]time.Time
	// drainingSince is when the first process learned that a worker is draining.
	drainingSince map[ID]time.Time
	// leaving are the incarnations that have reported in their responses that they are leaving, and
	// since when that is known.
	leaving map[Incarnation]time.Time
	// unreadable are the workers whose entries exist but do not describe a usable worker.
	unreadable map[ID]bool
	// previous are the incarnations of announced workers that the present ones replaced.
	previous map[ID]Worker
	// own and peer are the settling periods after this process, and after others, could not reach
	// the service. kept are the workers that are kept although their entries vanished.
	own, peer   settling
	kept        map[ID]keptWorker
	evacuations evacuations
	changed     chan struct{}
	// onExpired is called with the workers that are removed because their entries did not come
	// back; it may be nil.
	onExpired func([]ID)
}

// Vanished are the workers whose entries vanished with a change of the list.
type Vanished struct {
	// Gone are the workers that were removed.
	Gone []ID
	// Kept are the workers that stay for now, since their entries may merely have expired.
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
		previous:      map[ID]Worker{},
		unreadable:    map[ID]bool{},
		kept:          map[ID]keptWorker{},
		firstLookup:   map[ID]time.Time{},
		evacuations:   evacuations{},
		changed:       make(chan struct{}),
	}
}

// listAge is how old the changes in a list may be: when it is read after a time without updates, a
// worker may have been draining for that long. A worker that is missing from it may be back soon:
// entries vanish while the service is disrupted.
const listAge = time.Second

// EarliestListChange returns the earliest time at which changes found in a list may have happened,
// if everything was known up to since: a list does not show when its changes happened.
func (d *Directory) EarliestListChange(since time.Time) time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	earliest := clock.Now().Add(-listAge)
	if d.listed && since.Before(earliest) {
		earliest = since
	}
	return earliest
}

// Replace sets the whole list, and returns which entries vanished. since is the time up to which
// everything was known before.
func (d *Directory) Replace(list []Worker, learned LearnedTimes, since time.Time) Vanished {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if !d.listed || since.After(now) {
		since = now
	}
	fresh := map[ID]Worker{}
	for _, worker := range list {
		d.resetRestarted(worker)
		fresh[worker.ID] = worker
		delete(d.kept, worker.ID)
	}
	var vanished Vanished
	for id := range d.byID {
		if _, stays := fresh[id]; stays {
			continue
		}
		if d.handleVanished(id, since, &vanished) {
			fresh[id] = d.byID[id]
		}
	}
	d.byID, d.listed = fresh, true
	d.noteDraining(func(id ID) time.Time { return learned.at(id, now) })
	d.rebuildIndex()
	return vanished
}

// Update adds, changes and removes workers, and returns which entries vanished.
func (d *Directory) Update(changed []Worker, gone []ID, learned LearnedTimes) Vanished {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	for _, worker := range changed {
		d.resetRestarted(worker)
		d.byID[worker.ID] = worker
		delete(d.goneAt, worker.ID)
		delete(d.kept, worker.ID)
	}
	var vanished Vanished
	for _, id := range gone {
		if _, known := d.byID[id]; known && !d.handleVanished(id, learned.at(id, now), &vanished) {
			delete(d.byID, id)
		}
	}
	d.noteDraining(func(id ID) time.Time { return learned.at(id, now) })
	d.rebuildIndex()
	return vanished
}

// resetRestarted remembers the previous incarnation if a worker has restarted, and discards its
// drain: that ended with the incarnation, and a drain of the new one counts from its own start. The
// caller holds mu.
func (d *Directory) resetRestarted(worker Worker) {
	if before, known := d.byID[worker.ID]; known && before.StartTime != worker.StartTime {
		delete(d.drainingSince, worker.ID)
		d.previous[worker.ID] = before
	}
}

// noteDraining records since when workers drain that were not draining before, and discards the
// records of workers that are no longer announced. The caller holds mu.
func (d *Directory) noteDraining(since func(ID) time.Time) {
	d.applyLeaving()
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
	for id := range d.previous {
		if _, announced := d.byID[id]; !announced {
			delete(d.previous, id)
		}
	}
}

// goneRetention is how long the end of an entry and the first lookup of an unknown worker are
// remembered.
const goneRetention = 2 * time.Minute

// rebuildIndex groups the workers by service, removes old records and signals the change. The
// caller holds mu.
func (d *Directory) rebuildIndex() {
	d.byService = map[routing.ServiceName][]Worker{}
	d.usable = map[routing.ServiceName][]Worker{}
	for _, worker := range d.byID {
		d.byService[worker.Service] = append(d.byService[worker.Service], worker)
		if _, evacuated := d.evacuations[worker.Zone]; !evacuated && worker.State == StateReady {
			d.usable[worker.Service] = append(d.usable[worker.Service], worker)
		}
	}
	removeOld(d.goneAt)
	removeOld(d.firstLookup)
	d.pruneLeaving()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// removeOld removes times that are more than goneRetention ago.
func removeOld(times map[ID]time.Time) {
	for id, at := range times {
		if clock.Since(at) > goneRetention {
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

// PreviousIncarnation returns the incarnation of an announced worker that the present one replaced,
// as last announced; false if there is none, or if its entry vanished before.
func (d *Directory) PreviousIncarnation(id ID) (Worker, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	worker, known := d.previous[id]
	return worker, known
}

// GoneAt returns when a worker's entry was found to have vanished; false if that is not known.
func (d *Directory) GoneAt(id ID) (time.Time, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, known := d.goneAt[id]
	return at, known
}

// GoneFor returns for how long a worker has had no entry: since the entry was found to have
// vanished or, if it was never known, since the worker was first looked up here. It is zero until a
// list has been read. Without counting from the first lookup, an owner of keys that left before
// this process started got requests without end.
func (d *Directory) GoneFor(id ID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, announced := d.byID[id]; announced || !d.listed {
		return 0
	}
	if at, gone := d.goneAt[id]; gone {
		return clock.Since(at)
	}
	if _, noted := d.firstLookup[id]; !noted {
		d.firstLookup[id] = clock.Now()
	}
	return clock.Since(d.firstLookup[id])
}

// ByService returns the workers of a service in no particular order, and the version of the list.
// The slice must not be changed.
func (d *Directory) ByService(service routing.ServiceName) ([]Worker, uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service], d.version
}

// Usable returns the workers of a service that may get new work, in no particular order, and the
// version of the list. The slice must not be changed.
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

// ColdCount returns how many workers are warming up.
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

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// DrainingFor returns for how long a worker has been known to be draining, by its entry or by its
// responses. It counts from when the first process learned of it.
func (d *Directory) DrainingFor(id ID) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	since, draining := d.drainingSince[id]
	if _, announced := d.byID[id]; !announced {
		since, draining = d.leavingSince(id)
	}
	if !draining {
		return 0
	}
	return clock.Since(since)
}
