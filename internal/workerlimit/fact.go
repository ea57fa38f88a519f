// Package workerlimit enforces the rate limits that workers announce in their responses: requests
// per second from all routers together.
//
// A Table holds the limits that a process knows, as facts whose merge order does not matter. A
// Pacer, in the leader's process, decides when each request may be sent.
package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Fact is what is known about the limit of one incarnation of a worker.
type Fact struct {
	Worker workers.Incarnation
	// Rate is how many requests per second the worker accepts while it announces a limit.
	Rate float64
	// Ended says that the worker no longer announces a limit.
	Ended bool
	// At is the time as of which the fact is known: when a response arrived that announced the
	// limit, or when the request was sent whose response announced none. A response to an earlier
	// request does not prove that a limit announced later has ended.
	At time.Time
}

// rateTolerance is the difference, as a share of the greater rate, up to which two rates are
// equivalent. The leader paces by the latest rate that it knows, and each process that asks for a
// permit sends along the one that it knows, so smaller changes need not be published.
const rateTolerance = 0.1

// Key implements facts.Fact: one fact is kept for each worker.
func (f Fact) Key() workers.Incarnation { return workers.Incarnation{ID: f.Worker.ID} }

// Active implements facts.Fact.
func (f Fact) Active() bool { return !f.Ended }

// EquivalentTo reports whether two facts about the same incarnation have the same meaning.
func (f Fact) EquivalentTo(other Fact) bool {
	switch {
	case f.Worker != other.Worker || f.Ended != other.Ended:
		return false
	case f.Ended:
		return true
	}
	difference := max(f.Rate, other.Rate) - min(f.Rate, other.Rate)
	return difference <= rateTolerance*max(f.Rate, other.Rate)
}

// Replaces reports whether a fact takes the place of another one about the same worker: the later
// one does, and of two with the same time the more restrictive one.
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
