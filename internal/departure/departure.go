// Package departure records which workers have announced in their responses that they are leaving,
// regardless of the state in their store entries. Such an announcement is final for an incarnation
// of a worker.
package departure

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Fact says that an incarnation of a worker is leaving.
type Fact struct {
	Worker workers.Incarnation
	// Since is when the first process learned of it.
	Since time.Time
}

// sinceTolerance is the difference up to which two times of one announcement count as the same: its
// age grows by the latency of the path on which it was received.
const sinceTolerance = 250 * time.Millisecond

// Key implements facts.Fact: there is one fact per incarnation.
func (f Fact) Key() workers.Incarnation { return f.Worker }

// Replaces reports whether a fact has been known for longer than another one about the same
// incarnation.
func (f Fact) Replaces(other Fact) bool { return f.Since.Before(other.Since) }

// EquivalentTo implements facts.Fact.
func (f Fact) EquivalentTo(other Fact) bool { return f.Since.Sub(other.Since).Abs() <= sinceTolerance }

// Active implements facts.Fact.
func (f Fact) Active() bool { return true }

// Message is a fact as processes send it to each other. Their clocks differ, so times are sent as
// ages.
type Message struct {
	Worker    workers.ID        `json:"w"`
	StartTime workers.StartTime `json:"b,omitempty"`
	AgeMillis int64             `json:"a,omitempty"`
}

// NewMessage encodes a fact as of now.
func NewMessage(now time.Time, fact Fact) Message {
	return Message{Worker: fact.Worker.ID, StartTime: fact.Worker.StartTime, AgeMillis: max(0, now.Sub(fact.Since).Milliseconds())}
}

// Fact decodes a fact that was received at now.
func (m Message) Fact(now time.Time) Fact {
	age := time.Duration(max(0, m.AgeMillis)) * time.Millisecond
	return Fact{Worker: workers.Incarnation{ID: m.Worker, StartTime: m.StartTime}, Since: now.Add(-age)}
}
