// Package departure keeps which workers say in their answers that they leave, whatever their entries
// say. That never ends within a life of a worker.
package departure

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Fact says that a life of a worker leaves.
type Fact struct {
	Worker workers.Incarnation
	// Since is when the first process knew.
	Since time.Time
}

// sameSince is by how much two times of one word may differ that came on different ways.
const sameSince = 250 * time.Millisecond

// Key implements facts.Fact: each life has a fact of its own.
func (f Fact) Key() workers.Incarnation { return f.Worker }

// Replaces reports whether a fact is known for longer than another on the same life.
func (f Fact) Replaces(other Fact) bool { return f.Since.Before(other.Since) }

// TellsSame implements facts.Fact.
func (f Fact) EquivalentTo(other Fact) bool { return f.Since.Sub(other.Since).Abs() <= sameSince }

// Holds implements facts.Fact.
func (f Fact) Active() bool { return true }

// Told is a fact as processes tell it to each other. Their times of day differ, so times are told
// as ages.
type Message struct {
	Worker    workers.ID        `json:"w"`
	Born      workers.StartTime `json:"b,omitempty"`
	AgeMillis int64             `json:"a,omitempty"`
}

// Tell describes a fact.
func NewMessage(now time.Time, fact Fact) Message {
	return Message{Worker: fact.Worker.ID, Born: fact.Worker.StartTime, AgeMillis: max(0, now.Sub(fact.Since).Milliseconds())}
}

// Fact returns the fact that was told just now.
func (t Message) Fact(now time.Time) Fact {
	age := time.Duration(max(0, t.AgeMillis)) * time.Millisecond
	return Fact{Worker: workers.Incarnation{ID: t.Worker, StartTime: t.Born}, Since: now.Add(-age)}
}
