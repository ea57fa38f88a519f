package owner

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// heldKeys is a key range that a worker holds.
type heldKeys struct {
	keys  KeyRange
	fence Fence
	until time.Time
	// delayed means that the grant was accepted with a delay, while no order could reach the
	// worker.
	delayed bool
}

// simWorker is a worker that follows the ownership protocol.
type simWorker struct {
	id   workers.ID
	held []heldKeys
	// highestFences are the highest fences that the worker has seen, by segment.
	highestFences [segmentCount]Fence
	// partitioned workers can't be reached; ended ones never return.
	partitioned, ended bool
	// clockLag is the fraction by which the worker's clock runs slow.
	clockLag float64
}

// segmentCount is the number of segments at which the invariants are checked. Each consists of
// KeyCount/segmentCount adjacent keys.
const segmentCount = 8

func segmentKeys(segment int) KeyRange {
	width := KeyCount / segmentCount
	return KeyRange{segment * width, (segment+1)*width - 1}
}

// segmentsOf returns the segments that a range overlaps.
func segmentsOf(keys KeyRange) []int {
	var segments []int
	for segment := range segmentCount {
		whole := segmentKeys(segment)
		if keys.From <= whole.To && keys.To >= whole.From {
			segments = append(segments, segment)
		}
	}
	return segments
}

func (w *simWorker) grant(now time.Time, grant Grant, delayed bool) Outcome {
	for _, segment := range segmentsOf(grant.Keys) {
		if w.highestFences[segment] > grant.Fence {
			return OutcomeFenced
		}
	}
	w.drop(now, grant.Keys)
	for _, segment := range segmentsOf(grant.Keys) {
		w.highestFences[segment] = grant.Fence
	}
	length := time.Duration(float64(grant.Hold) * (1 + w.clockLag))
	w.held = append(w.held, heldKeys{keys: grant.Keys, fence: grant.Fence, until: now.Add(length), delayed: delayed && w.partitioned})
	return OutcomeDone
}

// release is never rejected. It raises the highest fences that the worker has seen.
func (w *simWorker) release(now time.Time, keys KeyRange, fence Fence) {
	w.drop(now, keys)
	for _, segment := range segmentsOf(keys) {
		w.highestFences[segment] = max(w.highestFences[segment], fence)
	}
}

// drop ends holds of keys. A hold that extends beyond them is reduced to the rest.
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

// holds returns the fence under which the worker holds a whole segment.
func (w *simWorker) holds(now time.Time, segment int) (Fence, bool) {
	if w.ended {
		return 0, false
	}
	whole := segmentKeys(segment)
	for _, held := range w.held {
		if now.Before(held.until) && held.keys.From <= whole.From && held.keys.To >= whole.To {
			return held.fence, true
		}
	}
	return 0, false
}

// holdsDelayedGrant reports whether the worker holds a segment by a grant that it accepted with a
// delay while it was partitioned.
func (w *simWorker) holdsDelayedGrant(now time.Time, segment int) bool {
	whole := segmentKeys(segment)
	for _, held := range w.held {
		if held.delayed && now.Before(held.until) && held.keys.From <= whole.From && held.keys.To >= whole.To {
			return true
		}
	}
	return false
}
