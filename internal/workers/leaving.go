package workers

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Leaves notes that a life of a worker says in its answers that it leaves, as is known since a time.
// From then on it counts as draining, whatever its entry says.
func (d *Directory) MarkLeaving(incarnation Incarnation, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, known := d.leaving[incarnation]; known && !since.Before(before) {
		return
	}
	d.leaving[incarnation] = since
	d.applyLeaving()
	d.rebuildIndex()
}

// noteLeaving lets announced workers drain that have said that they leave. What a life said whose start
// was not known holds for the first one that is announced, not for those after it. The caller holds mu.
func (d *Directory) applyLeaving() {
	for incarnation, since := range d.leaving {
		worker, announced := d.byID[incarnation.ID]
		if !announced || !incarnation.MayEqual(worker.Incarnation()) {
			continue
		}
		if incarnation != worker.Incarnation() && worker.StartTime != 0 {
			delete(d.leaving, incarnation)
			if before, known := d.leaving[worker.Incarnation()]; !known || since.Before(before) {
				d.leaving[worker.Incarnation()] = since
			}
		}
		worker.State = StateDraining
		d.byID[incarnation.ID] = worker
		if noted, draining := d.drainingSince[incarnation.ID]; !draining || since.Before(noted) {
			d.drainingSince[incarnation.ID] = since
		}
	}
}

// forgetLeaving forgets the word of workers that have been gone for long. The caller holds mu.
func (d *Directory) pruneLeaving() {
	for incarnation, since := range d.leaving {
		_, announced := d.byID[incarnation.ID]
		_, recentlyGone := d.goneAt[incarnation.ID]
		if !announced && !recentlyGone && clock.Since(since) > goneRetention {
			delete(d.leaving, incarnation)
		}
	}
}

// saidLeaving returns since when a worker that is not announced is known to leave by its own word;
// false if it is not. The caller holds mu.
func (d *Directory) leavingSince(id ID) (since time.Time, leaving bool) {
	for incarnation, at := range d.leaving {
		if incarnation.ID == id && (!leaving || at.Before(since)) {
			since, leaving = at, true
		}
	}
	return since, leaving
}
