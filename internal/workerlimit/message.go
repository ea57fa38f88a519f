package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Message is a fact as processes send it to each other. Their clocks differ, so times are sent as
// ages.
type Message struct {
	Worker    workers.ID        `json:"w"`
	StartTime workers.StartTime `json:"b,omitempty"`
	PerSecond float64           `json:"r,omitempty"`
	Ended     bool              `json:"e,omitempty"`
	AgeMillis int64             `json:"a,omitempty"`
}

// NewMessage encodes a fact as of now.
func NewMessage(now time.Time, fact Fact) Message {
	return Message{
		Worker: fact.Worker.ID, StartTime: fact.Worker.StartTime, PerSecond: fact.Rate, Ended: fact.Ended,
		AgeMillis: max(0, now.Sub(fact.At).Milliseconds()),
	}
}

// Fact decodes a fact that was received at now.
func (m Message) Fact(now time.Time) Fact {
	age := time.Duration(max(0, m.AgeMillis)) * time.Millisecond
	return Fact{
		Worker: workers.Incarnation{ID: m.Worker, StartTime: m.StartTime}, Rate: max(0, m.PerSecond), Ended: m.Ended, At: now.Add(-age),
	}
}
