package quota

import "time"

// spent counts the units that were spent lately, by slots of time.
type windowCounter struct {
	slots []int32
	// newest is the number of the slot that is filled now.
	newest int64
	used   int
}

func newWindowCounter(slots int) windowCounter { return windowCounter{slots: make([]int32, slots)} }

// advance frees the units that have rested. now is the time since the holder's epoch.
func (s *windowCounter) advance(now time.Duration) {
	slot := int64(now / slotTime)
	if slot <= s.newest {
		return
	}
	steps := min(slot-s.newest, int64(len(s.slots)))
	for step := slot - steps + 1; step <= slot; step++ {
		at := s.count(step)
		s.used -= int(*at)
		*at = 0
	}
	s.newest = slot
}

// at returns the place of a slot's count.
func (s *windowCounter) count(slot int64) *int32 { return &s.slots[slot%int64(len(s.slots))] }

// add spends a unit.
func (s *windowCounter) add() {
	*s.count(s.newest)++
	s.used++
}

// giveBack takes back a unit that was spent at a time; false if it is in use again already, or
// rests anew.
func (s *windowCounter) remove(at time.Duration) bool {
	slot := int64(at / slotTime)
	if slot < 0 || slot > s.newest || slot <= s.newest-int64(len(s.slots)) || *s.count(slot) == 0 {
		return false
	}
	*s.count(slot)--
	s.used--
	return true
}

// free returns when the next unit is in use again.
func (s *windowCounter) untilFree(now time.Duration) time.Duration {
	length := int64(len(s.slots))
	for slot := max(0, s.newest-length+1); slot <= s.newest; slot++ {
		if *s.count(slot) > 0 {
			return time.Duration(slot+length)*slotTime - now
		}
	}
	return 0
}
