package quota

import "time"

// spent counts the units that were spent lately, by slots of time.
type spent struct {
	slots []int32
	// newest is the number of the slot that is filled now.
	newest int64
	used   int
}

func newSpent(slots int) spent { return spent{slots: make([]int32, slots)} }

// advance frees the units that have rested. now is the time since the holder's epoch.
func (s *spent) advance(now time.Duration) {
	slot := int64(now / slotTime)
	if slot <= s.newest {
		return
	}
	steps := min(slot-s.newest, int64(len(s.slots)))
	for step := slot - steps + 1; step <= slot; step++ {
		at := s.at(step)
		s.used -= int(*at)
		*at = 0
	}
	s.newest = slot
}

// at returns the place of a slot's count.
func (s *spent) at(slot int64) *int32 { return &s.slots[slot%int64(len(s.slots))] }

// add spends a unit.
func (s *spent) add() {
	*s.at(s.newest)++
	s.used++
}

// giveBack takes back a unit that was spent at a time; false if it is in use again already, or
// rests anew.
func (s *spent) giveBack(at time.Duration) bool {
	slot := int64(at / slotTime)
	if slot < 0 || slot > s.newest || slot <= s.newest-int64(len(s.slots)) || *s.at(slot) == 0 {
		return false
	}
	*s.at(slot)--
	s.used--
	return true
}

// free returns when the next unit is in use again.
func (s *spent) free(now time.Duration) time.Duration {
	length := int64(len(s.slots))
	for slot := max(0, s.newest-length+1); slot <= s.newest; slot++ {
		if *s.at(slot) > 0 {
			return time.Duration(slot+length)*slotTime - now
		}
	}
	return 0
}
