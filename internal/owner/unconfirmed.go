package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// unconfirmedGrant is a grant to a previous owner that may still be accepted with a delay, although
// the keys have moved to another worker. To have it rejected, the worker is sent a release with the
// new fence as soon as it can be reached, and again if it restarts, since a new incarnation has
// seen no fences.
type unconfirmedGrant struct {
	worker      workers.ID
	keys        KeyRange
	fence       Fence
	until       time.Time
	nextOrderAt time.Time
	inFlight    bool
	// acknowledged means that the worker's last known incarnation has seen the new fence.
	acknowledged bool
}

// addUnconfirmed tracks a previous owner that did not release its keys, because its hold expired or
// it ended. It returns false if the worker can no longer accept a delayed grant.
func (l *Ledger) addUnconfirmed(now time.Time, old previousOwner, s *span) bool {
	if !now.Before(old.delayedGrantUntil) {
		return false
	}
	l.recordVersion++ // the next leader must know of it
	until := later(old.delayedGrantUntil, old.restartGrantUntil)
	l.unconfirmed = append(l.unconfirmed, &unconfirmedGrant{worker: old.worker, keys: s.keys, fence: s.fence, until: until, nextOrderAt: now})
	return true
}

// addAcknowledged tracks a previous owner that rejects delayed grants, unless it restarts.
func (l *Ledger) addAcknowledged(now time.Time, old previousOwner, s *span) {
	if !l.reportsStartTime(old.worker) || !now.Before(old.restartGrantUntil) {
		return
	}
	l.recordVersion++
	l.unconfirmed = append(l.unconfirmed, &unconfirmedGrant{worker: old.worker, keys: s.keys, fence: s.fence, until: old.restartGrantUntil, acknowledged: true})
}

// dropUnconfirmed stops tracking unconfirmed grants of keys that return to their worker: the new
// grant itself has a higher fence, and a release would take the keys away. It returns the time
// until which the worker may accept one of the dropped grants; zero if there were none.
func (l *Ledger) dropUnconfirmed(worker workers.ID, keys KeyRange) time.Time {
	until := time.Time{}
	var rest []*unconfirmedGrant
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(grant *unconfirmedGrant) bool {
		drop := grant.worker == worker && grant.keys.From <= keys.To && grant.keys.To >= keys.From
		if drop {
			until = later(until, grant.until)
			rest = append(rest, grant.outside(keys)...)
		}
		return drop
	})
	l.unconfirmed = append(l.unconfirmed, rest...)
	return until
}

// outside returns the parts of the grant that do not overlap with keys.
func (g *unconfirmedGrant) outside(keys KeyRange) []*unconfirmedGrant {
	var parts []*unconfirmedGrant
	for _, part := range []KeyRange{{g.keys.From, keys.From - 1}, {keys.To + 1, g.keys.To}} {
		if part.From <= part.To {
			parts = append(parts, &unconfirmedGrant{worker: g.worker, keys: part, fence: g.fence, until: g.until, nextOrderAt: g.nextOrderAt, acknowledged: g.acknowledged})
		}
	}
	return parts
}

// dueFenceUpdates returns the releases that raise the fences at workers with unconfirmed grants.
func (l *Ledger) dueFenceUpdates(now time.Time) []Order {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(grant *unconfirmedGrant) bool {
		return !grant.inFlight && (now.After(grant.until) || (l.ended[grant.worker] && !l.reportsStartTime(grant.worker)))
	})
	var due []Order
	for _, grant := range l.unconfirmed {
		if grant.inFlight || grant.acknowledged || l.ended[grant.worker] || now.Before(grant.nextOrderAt) {
			continue
		}
		grant.inFlight = true
		due = append(due, Order{
			Target: l.target(grant.worker),
			Keys:   grant.keys, Fence: grant.fence, Release: true, sentAt: now, unconfirmed: grant,
		})
	}
	return due
}

// handleFenceUpdateReply processes the result of such a release.
func (l *Ledger) handleFenceUpdateReply(now time.Time, order Order, reply Reply) {
	grant := order.unconfirmed
	grant.inFlight = false
	grant.nextOrderAt = now.Add(l.config.RetryDelay)
	if (reply.Outcome == OutcomeDone || reply.Outcome == OutcomeOtherWorker) && !order.targetRestarted {
		grant.acknowledged = true
		if !l.reportsStartTime(grant.worker) {
			grant.until = time.Time{} // its ID is not used again after a restart
		}
	}
}
