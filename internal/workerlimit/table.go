package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/workers"
)

// endedRetention is how long the end of a limit is remembered: responses that announced the limit
// may still be in transit to this process.
const endedRetention = 30 * time.Second

// Table holds the workers' limits that a process knows. It is safe for concurrent use.
type Table struct{ *facts.Table[Fact] }

// NewTable returns an empty table.
func NewTable() Table { return Table{facts.NewTable[Fact]()} }

// Fact returns what is known about the limit of an incarnation of a worker; false if nothing is.
func (t Table) Fact(worker workers.Incarnation) (Fact, bool) {
	fact, known := t.Table.Fact(workers.Incarnation{ID: worker.ID})
	if !known || !fact.Worker.MayEqual(worker) {
		return Fact{}, false
	}
	return fact, true
}

// Rate returns how many requests per second a worker accepts from all routers together; false if it
// announces no limit.
func (t Table) Rate(worker workers.Incarnation) (perSecond float64, limited bool) {
	if t.ActiveCount() == 0 {
		return 0, false
	}
	fact, known := t.Fact(worker)
	if !known || fact.Ended {
		return 0, false
	}
	return fact.Rate, true
}

// Forget removes the facts about workers for which gone returns true, and limits that ended more
// than endedRetention ago.
func (t Table) Forget(now time.Time, gone func(workers.ID) bool) {
	t.Table.Forget(func(fact Fact) bool {
		return gone(fact.Worker.ID) || (fact.Ended && now.Sub(fact.At) > endedRetention)
	})
}
