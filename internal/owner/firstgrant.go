package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// When keys move from a worker that can't be reached, their new owner gets its first grant only after
// the hold of that worker has ended, seconds later. If the new owner crashes meanwhile, the leader knows
// that it never had the keys, but a later leader did not: it waited for a hold that did not exist, up to
// 9.2 s, with each owner that crashed in this way. Such an owner is therefore recorded as ungranted, and
// a record that no longer states this is stored before its first grant is sent. Other moves don't wait,
// so they are stored once.

// firstGrantLead is how long before the expected end of the last previous hold the record of an
// ungranted owner is updated, so that the first grant need not wait for the store.
const firstGrantLead = 300 * time.Millisecond

// recordsUngranted reports whether the next owner of keys is recorded as ungranted: it has not had a grant
// of them, and probably has to wait until holds expire.
func (l *Ledger) recordsUngranted(s *span, to workers.ID) bool {
	if s.owner == to || l.mayHaveEarlierGrant(s, to) {
		return false
	}
	return len(s.previous) > 0 || (s.mayHaveGrant() && l.failsRepeatedly(s.owner))
}

// mayHaveEarlierGrant reports whether a worker may hold keys from before they moved to another one, or
// may still accept a delayed grant from then.
func (l *Ledger) mayHaveEarlierGrant(s *span, worker workers.ID) bool {
	return slices.ContainsFunc(s.previous, func(old previousOwner) bool { return old.worker == worker }) ||
		slices.ContainsFunc(l.unconfirmed, func(grant *unconfirmedGrant) bool {
			return grant.worker == worker && grant.keys.overlaps(s.keys)
		})
}

// failsRepeatedly reports whether more than one order to a worker has failed since its last reply. A
// worker that is known to have ended holds nothing.
func (l *Ledger) failsRepeatedly(worker workers.ID) bool {
	series, failing := l.failing[worker]
	return failing && series.last.After(series.since) && !l.ended[worker]
}

// recordFirstGrant updates the record of an ungranted owner if the previous holds end soon.
func (l *Ledger) recordFirstGrant(now time.Time, s *span) {
	if !s.recordedUngranted || s.pending != nil || !l.previousHoldsExpired(now.Add(firstGrantLead), s) {
		return
	}
	l.recordVersion++
	s.recordedUngranted, s.recordVersion = false, l.recordVersion
}

// previousHoldsExpired reports whether all holds of previous owners will have expired at a time, as far
// as is known now.
func (l *Ledger) previousHoldsExpired(at time.Time, s *span) bool {
	for _, old := range s.previous {
		if !l.ended[old.worker] && !l.holdExpired(at, old) {
			return false
		}
	}
	return true
}

// takeOverUngranted marks the spans whose owners were recorded as ungranted. The record must be that of
// the leader before this one: a leader of an earlier version doesn't know the mark, and may have sent
// grants without storing a record. It is stored again, for the leader after this one.
func (l *Ledger) takeOverUngranted(stored record, spans []*span) {
	if stored.Term+1 != l.term {
		return
	}
	for index, entry := range stored.Spans {
		if entry.Ungranted {
			l.recordVersion++
			spans[index].recordedUngranted, spans[index].inheritedUntil = true, time.Time{}
		}
	}
}
