// Package workers keeps the list of workers as they announce themselves.
package workers

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// ID names one life of a worker; a restart has a new one.
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
}

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
	// drainingSince is when a worker was first seen to drain.
	drainingSince map[ID]time.Time
	// settled is until when entries that vanish may have lapsed only, and lapsed are
	// the workers that are kept until then.
	settled     time.Time
	lapsed      map[ID]bool
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
		lapsed:        map[ID]bool{},
		evacuations:   evacuations{},
		changed:       make(chan struct{}),
	}
}

// listAge is how old what a list tells may be: when it is read after a time without
// news, a worker may have been draining for that long. A worker that is gone from it
// may be back soon: entries go while the service is disturbed.
const listAge = time.Second

// OnExpired sets what is called with the workers whose entries did not come back in time.
// It is set before the directory is used.
func (d *Directory) OnExpired(call func([]ID)) { d.expired = call }

// Replace sets the whole list, and returns which entries went with that.
func (d *Directory) Replace(list []Worker) Vanished {
	d.mu.Lock()
	defer d.mu.Unlock()
	learned := time.Now().Add(-listAge)
	fresh := map[ID]Worker{}
	for _, worker := range list {
		fresh[worker.ID] = worker
		delete(d.lapsed, worker.ID)
	}
	var vanished Vanished
	for id := range d.byID {
		if _, stays := fresh[id]; stays {
			continue
		}
		if d.vanish(id, &vanished) {
			fresh[id] = d.byID[id]
		}
	}
	d.byID = fresh
	d.index(learned)
	return vanished
}

// Update adds, changes and removes workers, and returns which entries went with that.
func (d *Directory) Update(changed []Worker, gone []ID) Vanished {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range changed {
		d.byID[worker.ID] = worker
		delete(d.goneAt, worker.ID)
		delete(d.lapsed, worker.ID)
	}
	var vanished Vanished
	for _, id := range gone {
		if _, known := d.byID[id]; known && !d.vanish(id, &vanished) {
			delete(d.byID, id)
		}
	}
	d.index(time.Now())
	return vanished
}

// vanish notes that the entry of a known worker went, and reports whether the worker is
// kept. The caller holds mu.
func (d *Directory) vanish(id ID, vanished *Vanished) bool {
	if !d.lapses(id) {
		d.goneAt[id] = time.Now()
		vanished.Gone = append(vanished.Gone, id)
		return false
	}
	if !d.lapsed[id] {
		d.lapsed[id] = true
		vanished.Kept = append(vanished.Kept, id)
	}
	return true
}

// SettleTime is how long after the service's return entries that lapsed meanwhile are
// back, if their workers live.
const SettleTime = 2200 * time.Millisecond

// Settle tells that the service was away: until a time, entries of ready workers that
// vanish may have lapsed only, and their workers are kept.
func (d *Directory) Settle(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.settled) {
		d.settled = until
		time.AfterFunc(time.Until(until), d.expire)
	}
}

// EndSettling tells that the service was not away for others: entries that vanished are
// gone.
func (d *Directory) EndSettling() {
	d.mu.Lock()
	now := time.Now()
	settling := now.Before(d.settled)
	if settling {
		d.settled = now
	}
	d.mu.Unlock()
	if settling {
		d.expire()
	}
}

// Settling returns for how long vanished entries are kept still.
func (d *Directory) Settling() time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return max(0, time.Until(d.settled))
}

// lapses reports whether the entry of a known worker, which went, may have lapsed only. The
// caller holds mu.
func (d *Directory) lapses(id ID) bool {
	return d.byID[id].State == StateReady && time.Now().Before(d.settled)
}

// expire takes workers to be gone whose entries did not come back.
func (d *Directory) expire() {
	expired := d.dropLapsed()
	if len(expired) > 0 && d.expired != nil {
		d.expired(expired)
	}
}

// dropLapsed removes the workers that are kept no longer, and returns them.
func (d *Directory) dropLapsed() []ID {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lapsed) == 0 || time.Now().Before(d.settled) {
		return nil
	}
	expired := make([]ID, 0, len(d.lapsed))
	for id := range d.lapsed {
		d.goneAt[id] = time.Now()
		delete(d.byID, id)
		expired = append(expired, id)
	}
	clear(d.lapsed)
	d.index(time.Now())
	return expired
}

// goneMemory is how long the end of an entry is remembered.
const goneMemory = 2 * time.Minute

// index sorts the workers by service. What is new was learned at a time.
func (d *Directory) index(learned time.Time) {
	d.byService = map[routing.ServiceName][]Worker{}
	d.usable = map[routing.ServiceName][]Worker{}
	for id, worker := range d.byID {
		d.byService[worker.Service] = append(d.byService[worker.Service], worker)
		if _, evacuated := d.evacuations[worker.Zone]; !evacuated && worker.State == StateReady {
			d.usable[worker.Service] = append(d.usable[worker.Service], worker)
		}
		if _, noted := d.drainingSince[id]; !noted && worker.State == StateDraining {
			d.drainingSince[id] = learned
		}
	}
	for id := range d.drainingSince {
		if _, announced := d.byID[id]; !announced {
			delete(d.drainingSince, id)
		}
	}
	for id, at := range d.goneAt {
		if time.Since(at) > goneMemory {
			delete(d.goneAt, id)
		}
	}
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Get returns a worker; false if it is not announced.
func (d *Directory) Get(id ID) (Worker, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	worker, known := d.byID[id]
	return worker, known
}

// GoneAt returns when a worker's entry was seen to be gone; false if that is not known.
func (d *Directory) GoneAt(id ID) (time.Time, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, known := d.goneAt[id]
	return at, known
}

// GoneFor returns for how long a worker's entry is gone; zero if it is not known to
// be.
func (d *Directory) GoneFor(id ID) time.Duration {
	at, gone := d.GoneAt(id)
	if !gone {
		return 0
	}
	return time.Since(at)
}

// Of returns the workers of a service in no order, and the list's version. The
// slice must not be changed.
func (d *Directory) Of(service routing.ServiceName) ([]Worker, uint64) {
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

// Kept returns how many workers are kept although their entries went.
func (d *Directory) Kept() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.lapsed)
}

// Cold returns how many workers warm up.
func (d *Directory) Cold() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	count, now := 0, time.Now()
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

// DrainingFor returns how long a worker has been seen to drain.
func (d *Directory) DrainingFor(id ID) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	since, draining := d.drainingSince[id]
	if !draining {
		return 0
	}
	return time.Since(since)
}
