package workers

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// MarkLeaving records that an incarnation of a worker reports in its responses that it is leaving,
// which is known since a time. From then on it counts as draining, regardless of its entry.
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

// applyLeaving marks announced workers as draining if they have reported that they are leaving. A
// report without a start time applies to the first incarnation that is announced, not to those
// after it. The caller holds mu.
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

// pruneLeaving forgets the reports of workers that have had no entry for a long time. The caller
// holds mu.
func (d *Directory) pruneLeaving() {
	for incarnation, since := range d.leaving {
		_, announced := d.byID[incarnation.ID]
		_, recentlyGone := d.goneAt[incarnation.ID]
		if !announced && !recentlyGone && clock.Since(since) > goneRetention {
			delete(d.leaving, incarnation)
		}
	}
}

// leavingSince returns since when a worker that is not announced is known to be leaving by its own
// report; false if it is not. The caller holds mu.
func (d *Directory) leavingSince(id ID) (since time.Time, leaving bool) {
	for incarnation, at := range d.leaving {
		if incarnation.ID == id && (!leaving || at.Before(since)) {
			since, leaving = at, true
		}
	}
	return since, leaving
}
