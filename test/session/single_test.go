package session

import (
	"testing"
	"time"
)

// Nothing fails: the course of a quiet cell.
func TestNothingFails(t *testing.T) {
	play(t, func(s *system) {
		s.pass(3 * time.Second)
		s.within(time.Second, "generation 1 leads, version 1 in force", s.settled(1, 1))
	})
}
