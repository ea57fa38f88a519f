package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// When keys move from a worker that can't be reached, their new owner gets its first grant only after
// the hold of that worker has ended, seconds later. Until then the owner is recorded as ungranted, and a
// record that no longer states this is stored before the first grant is sent. If the owner crashes
// meanwhile, a later leader need not wait for a hold that does not exist: that would be up to 9.2 s for
// each such owner. Other moves don't wait, so they are stored once.

// firstGrantLead is how long before the expected end of the last previous hold the record of an
// ungranted owner is updated, so that the first grant need not wait for the store.
const firstGrantLead = 300 * time.Millisecond

// recordsUngranted reports whether a worker is recorded as ungranted if keys move to it: no earlier grant
// of them can reach it, and it probably has to wait until holds expire.
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
