package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Told is a fact as processes tell it to each other. Their times of day differ, so times are told
// as ages.
type Message struct {
	Worker    workers.ID        `json:"w"`
	Born      workers.StartTime `json:"b,omitempty"`
	PerSecond float64           `json:"r,omitempty"`
	Ended     bool              `json:"e,omitempty"`
	AgeMillis int64             `json:"a,omitempty"`
}

// Tell describes a fact.
func NewMessage(now time.Time, fact Fact) Message {
	return Message{
		Worker: fact.Worker.ID, Born: fact.Worker.StartTime, PerSecond: fact.Rate, Ended: fact.Ended,
		AgeMillis: max(0, now.Sub(fact.At).Milliseconds()),
	}
}

// Fact returns the fact that was told just now.
func (t Message) Fact(now time.Time) Fact {
	age := time.Duration(max(0, t.AgeMillis)) * time.Millisecond
	return Fact{
		Worker: workers.Incarnation{ID: t.Worker, StartTime: t.Born}, Rate: max(0, t.PerSecond), Ended: t.Ended, At: now.Add(-age),
	}
}
