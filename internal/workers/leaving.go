package workers

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Leaves notes that a life of a worker says in its answers that it leaves, as is known since a time.
// From then on it counts as draining, whatever its entry says.
func (d *Directory) MarkLeaving(life Incarnation, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, known := d.leaving[life]; known && !since.Before(before) {
		return
	}
	d.leaving[life] = since
	d.noteLeaving()
	d.index()
}

// noteLeaving lets announced workers drain that have said that they leave. What a life said whose start
// was not known holds for the first one that is announced, not for those after it. The caller holds mu.
func (d *Directory) noteLeaving() {
	for life, since := range d.leaving {
		worker, announced := d.byID[life.ID]
		if !announced || !life.MayEqual(worker.Incarnation()) {
			continue
		}
		if life != worker.Incarnation() && worker.StartTime != 0 {
			delete(d.leaving, life)
			if before, known := d.leaving[worker.Incarnation()]; !known || since.Before(before) {
				d.leaving[worker.Incarnation()] = since
			}
		}
		worker.State = StateDraining
		d.byID[life.ID] = worker
		if noted, draining := d.drainingSince[life.ID]; !draining || since.Before(noted) {
			d.drainingSince[life.ID] = since
		}
	}
}

// forgetLeaving forgets the word of workers that have been gone for long. The caller holds mu.
func (d *Directory) forgetLeaving() {
	for life, since := range d.leaving {
		_, announced := d.byID[life.ID]
		_, goneLately := d.goneAt[life.ID]
		if !announced && !goneLately && clock.Since(since) > goneMemory {
			delete(d.leaving, life)
		}
	}
}

// saidLeaving returns since when a worker that is not announced is known to leave by its own word;
// false if it is not. The caller holds mu.
func (d *Directory) saidLeaving(id ID) (since time.Time, leaving bool) {
	for life, at := range d.leaving {
		if life.ID == id && (!leaving || at.Before(since)) {
			since, leaving = at, true
		}
	}
	return since, leaving
}
