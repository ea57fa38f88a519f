package owner

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// heldKeys is a run of keys that a worker holds.
type heldKeys struct {
	keys  KeyRange
	fence Fence
	until time.Time
	// late says that the grant was taken late, while no order reached the worker.
	late bool
}

// simWorker is a worker that keeps the rules of its protocol.
type simWorker struct {
	id   workers.ID
	held []heldKeys
	// seen are the highest fences, by key of the small key space of the world.
	seen [worldKeys]Fence
	// cut workers are not reached; ended ones are gone for good.
	cut, ended bool
	// slow is how much slower its clock runs.
	slow float64
}

// worldKeys is the number of places at which the rules are checked. Each stands
// for KeyCount/worldKeys neighbouring keys.
const worldKeys = 8

func placeKeys(place int) KeyRange {
	width := KeyCount / worldKeys
	return KeyRange{place * width, (place+1)*width - 1}
}

// covers lists the places that a run touches.
func covers(keys KeyRange) []int {
	var places []int
	for place := range worldKeys {
		whole := placeKeys(place)
		if keys.From <= whole.To && keys.To >= whole.From {
			places = append(places, place)
		}
	}
	return places
}

func (w *simWorker) grant(now time.Time, grant Grant, late bool) Outcome {
	for _, place := range covers(grant.Keys) {
		if w.seen[place] > grant.Fence {
			return OutcomeFenced
		}
	}
	w.drop(now, grant.Keys)
	for _, place := range covers(grant.Keys) {
		w.seen[place] = grant.Fence
	}
	length := time.Duration(float64(grant.Hold) * (1 + w.slow))
	w.held = append(w.held, heldKeys{keys: grant.Keys, fence: grant.Fence, until: now.Add(length), late: late && w.cut})
	return OutcomeDone
}

// release is never refused; it raises the fences that were seen.
func (w *simWorker) release(now time.Time, keys KeyRange, fence Fence) {
	w.drop(now, keys)
	for _, place := range covers(keys) {
		w.seen[place] = max(w.seen[place], fence)
	}
}

// drop ends the holds on keys, cutting those that reach further.
func (w *simWorker) drop(now time.Time, keys KeyRange) {
	var kept []heldKeys
	for _, held := range w.held {
		if !now.Before(held.until) {
			continue
		}
		if held.keys.To < keys.From || held.keys.From > keys.To {
			kept = append(kept, held)
			continue
		}
		if held.keys.From < keys.From {
			left := held
			left.keys.To = keys.From - 1
			kept = append(kept, left)
		}
		if held.keys.To > keys.To {
			right := held
			right.keys.From = keys.To + 1
			kept = append(kept, right)
		}
	}
	w.held = kept
}

// holds returns the fence under which the worker holds a whole place.
func (w *simWorker) holds(now time.Time, place int) (Fence, bool) {
	if w.ended {
		return 0, false
	}
	whole := placeKeys(place)
	for _, held := range w.held {
		if now.Before(held.until) && held.keys.From <= whole.From && held.keys.To >= whole.To {
			return held.fence, true
		}
	}
	return 0, false
}

// lateWhileCut reports whether the worker holds a place by a grant that it took
// late, while it was cut.
func (w *simWorker) lateWhileCut(now time.Time, place int) bool {
	whole := placeKeys(place)
	for _, held := range w.held {
		if held.late && now.Before(held.until) && held.keys.From <= whole.From && held.keys.To >= whole.To {
			return true
		}
	}
	return false
}
