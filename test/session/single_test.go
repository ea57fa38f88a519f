package session

import (
	"testing"
	"time"
)

// recovery bounds the time until the cell is whole again after a failure ended:
// a new group is formed, or a member replaced, within it.
const recovery = 15 * time.Second

// Nothing fails: the course of a quiet cell.
func TestNothingFails(t *testing.T) {
	play(t, func(s *system) {
		s.pass(3 * time.Second)
		s.within(time.Second, "generation 1 leads, version 1 in force", s.settled(1, 1))
	})
}

// Each failure alone.
func TestFailure(t *testing.T) {
	for _, failure := range faults {
		t.Run(failure.name, func(t *testing.T) {
			play(t, func(s *system) {
				failure.prepare(s)
				heal := failure.strike(s)
				s.pass(failure.lasts)
				if failure.carriesOn {
					s.within(2*time.Second, "every slice is owned and served", s.settled(1, 1))
				}
				heal()
				s.whole(failure.generationAfter(), 1)
			})
		})
	}
}
