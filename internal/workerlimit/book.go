package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/workers"
)

// endedMemory is for how long it is remembered that a limit has ended: answers that named it may
// still be on their way to this process.
const endedMemory = 30 * time.Second

// Book holds what a process knows of workers' limits. It is safe for concurrent use.
type Table struct{ *facts.Table[Fact] }

// NewTable returns a book that knows of no limit.
func NewTable() Table { return Table{facts.NewTable[Fact]()} }

// Fact returns what is known of a worker's limit; false if it never named one.
func (b Table) Fact(life workers.Incarnation) (Fact, bool) {
	fact, known := b.Table.Fact(workers.Incarnation{ID: life.ID})
	if !known || !fact.Worker.MayEqual(life) {
		return Fact{}, false
	}
	return fact, true
}

// Rate returns how many requests a second a worker takes from all routers together; false if it
// names no limit.
func (b Table) Rate(life workers.Incarnation) (perSecond float64, limited bool) {
	if b.ActiveCount() == 0 {
		return 0, false
	}
	fact, known := b.Fact(life)
	if !known || fact.Ended {
		return 0, false
	}
	return fact.Rate, true
}

// Forget drops what is known of workers that are gone, and limits that ended long ago.
func (b Table) Forget(now time.Time, gone func(workers.ID) bool) {
	b.Table.Forget(func(fact Fact) bool {
		return gone(fact.Worker.ID) || (fact.Ended && now.Sub(fact.At) > endedMemory)
	})
}
