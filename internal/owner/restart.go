package owner

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// ObserveIncarnation records the announced incarnation of a worker, and its address if the worker
// has restarted. It reports whether it has. An announcement without a start time is attributed to
// the known incarnation.
//
// The ledger does not know when a worker restarted: its last replies may have come from either
// incarnation. Earlier holds therefore still have to expire or be released. Meanwhile the worker is
// granted its own keys again under a higher fence, and fences that it has to know are sent again,
// since a new incarnation has seen none of the earlier ones.
//
// A new leader knows no start times. To it, a worker has restarted if it announces another address than
// the record states; either may be out of date.
func (l *Ledger) ObserveIncarnation(now time.Time, incarnation workers.Incarnation, address string) bool {
	previous, known := l.startTimes[incarnation.ID]
	if incarnation.StartTime == 0 || previous == incarnation.StartTime {
		return false
	}
	l.startTimes[incarnation.ID] = incarnation.StartTime
	recorded, hasAddress := l.addresses[incarnation.ID]
	moved := hasAddress && recorded != address
	if !known && !moved {
		return false
	}
	delete(l.ended, incarnation.ID)
	delete(l.failing, incarnation.ID)
	delete(l.lastUnanswered, incarnation.ID)
	l.disputed[incarnation.ID] = !known
	if moved {
		l.addresses[incarnation.ID] = address
		l.assignmentVersion++
		l.recordVersion++ // the next leader must not take the worker at the former address for this one
	}
	for _, s := range l.spans {
		l.handleRestart(now, s, incarnation.ID)
	}
	for _, grant := range l.unconfirmed {
		if grant.worker == incarnation.ID {
			grant.acknowledged, grant.nextOrderAt = false, now
		}
	}
	return true
}

// resolveDispute returns the outcome of an order to a worker whose address is disputed. A reply by the
// worker settles the address. One by another worker does not show that the worker has ended.
func (l *Ledger) resolveDispute(worker workers.ID, outcome Outcome) Outcome {
	switch outcome {
	case OutcomeOtherWorker:
		if l.disputed[worker] {
			return OutcomeUnreachable
		}
	case OutcomeDone, OutcomeFenced, OutcomeInvalid:
		delete(l.disputed, worker)
	}
	return outcome
}

// handleRestart treats the keys of a restarted worker as not held by any worker yet. If the worker
// is a previous owner, the order to it is due at once, for what its new incarnation may have been
// granted.
func (l *Ledger) handleRestart(now time.Time, s *span, worker workers.ID) {
	for _, old := range s.previous {
		if old.worker == worker {
			s.nextOrderAt = now
		}
	}
	if s.owner != worker || !s.mayHaveGrant() {
		return
	}
	if s.granted {
		l.assignmentVersion++
	}
	l.holdsVersion++
	s.granted = false
	s.fence = l.nextFence()
	s.nextOrderAt = now
}

// reportsStartTime reports whether a worker announces its start time. Workers that announce none
// get a new ID when they restart.
func (l *Ledger) reportsStartTime(id workers.ID) bool { return l.startTimes[id] != 0 }

// target returns the target of orders to a worker: its last known address and start time.
func (l *Ledger) target(id workers.ID) Target {
	return Target{ID: id, Address: l.addresses[id], StartTime: l.startTimes[id]}
}
