package quota

import "time"

// windowCounter is a sliding window counter: it counts the units that were spent within the window,
// by time slots.
type windowCounter struct {
	slots []int32
	// newest is the number of the current slot.
	newest int64
	used   int
}

func newWindowCounter(slots int) windowCounter { return windowCounter{slots: make([]int32, slots)} }

// advance drops slots that have left the window. now is the time since the holder's epoch.
func (w *windowCounter) advance(now time.Duration) {
	slot := int64(now / slotTime)
	if slot <= w.newest {
		return
	}
	steps := min(slot-w.newest, int64(len(w.slots)))
	for step := slot - steps + 1; step <= slot; step++ {
		count := w.count(step)
		w.used -= int(*count)
		*count = 0
	}
	w.newest = slot
}

// count returns a pointer to the count of a slot.
func (w *windowCounter) count(slot int64) *int32 { return &w.slots[slot%int64(len(w.slots))] }

// add counts a unit that is spent now.
func (w *windowCounter) add() {
	*w.count(w.newest)++
	w.used++
}

// remove takes back a unit that was spent at a time; false if its slot has left the window or is
// empty.
func (w *windowCounter) remove(at time.Duration) bool {
	slot := int64(at / slotTime)
	if slot < 0 || slot > w.newest || slot <= w.newest-int64(len(w.slots)) || *w.count(slot) == 0 {
		return false
	}
	*w.count(slot)--
	w.used--
	return true
}

// untilFree returns the time until the next unit can be spent again.
func (w *windowCounter) untilFree(now time.Duration) time.Duration {
	length := int64(len(w.slots))
	for slot := max(0, w.newest-length+1); slot <= w.newest; slot++ {
		if *w.count(slot) > 0 {
			return time.Duration(slot+length)*slotTime - now
		}
	}
	return 0
}
