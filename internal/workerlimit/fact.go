// Package workerlimit keeps workers within the limits that they name in their answers: so many
// requests a second from all routers together.
//
// A Book holds what a process knows of limits, as facts that merge to the same in any order. A
// Pacer, in the process that leads, says when each request may leave.
package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Fact is what is known of the limit of one life of a worker.
type Fact struct {
	Worker workers.Incarnation
	// Rate is how many requests a second the worker takes, while it names a limit.
	Rate float64
	// Ended says that the worker names no limit any longer.
	Ended bool
	// At is as of when that is known: when an answer came that named the limit, or when a request
	// left whose answer named none. An answer to an earlier request says nothing of later ones.
	At time.Time
}

// sameRate is by which share of the greater one two rates differ at most that count as the same:
// what decides is the rate that the process that sends has seen, so others need not hear of less.
const sameRate = 0.1

// Key implements facts.Fact: one fact is kept of each worker.
func (f Fact) Key() workers.Incarnation { return workers.Incarnation{ID: f.Worker.ID} }

// Holds implements facts.Fact.
func (f Fact) Active() bool { return !f.Ended }

// TellsSame reports whether two facts tell the same of the same life of a worker.
func (f Fact) EquivalentTo(other Fact) bool {
	switch {
	case f.Worker != other.Worker || f.Ended != other.Ended:
		return false
	case f.Ended:
		return true
	}
	difference := max(f.Rate, other.Rate) - min(f.Rate, other.Rate)
	return difference <= sameRate*max(f.Rate, other.Rate)
}

// Replaces reports whether a fact takes the place of another on the same worker: the later one
// does, and of two at one time the one that holds back more.
func (f Fact) Replaces(other Fact) bool {
	switch {
	case !f.At.Equal(other.At):
		return f.At.After(other.At)
	case f.Ended != other.Ended:
		return other.Ended
	case f.Worker.StartTime != other.Worker.StartTime:
		return f.Worker.StartTime > other.Worker.StartTime
	}
	return !f.Ended && f.Rate < other.Rate
}
