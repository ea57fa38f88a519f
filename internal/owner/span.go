package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// span is a key range and the worker that owns it or is to own it.
type span struct {
	keys  KeyRange
	owner workers.ID
	fence Fence
	// recordVersion is the ledger's record version in which the owner was chosen. No grant is sent
	// before that version is stored.
	recordVersion uint64
	// granted means that the owner's last known incarnation has accepted a grant of the keys.
	granted  bool
	handover Handover
	// heldUntil is the latest time at which a grant to the owner may end, and inheritedUntil the same
	// for grants of earlier leaders; zero if there are none.
	heldUntil, inheritedUntil time.Time
	// guaranteedUntil is the time until which the owner is certain to hold the keys.
	guaranteedUntil time.Time
	// delayedHeldUntil is like heldUntil, for unanswered grants that may be accepted with a delay.
	delayedHeldUntil time.Time
	// unconfirmed means that a grant got no reply. The next one has a higher fence, so that the
	// first is rejected if it arrives late.
	unconfirmed bool
	// unconfirmedFence is the fence of the last such grant.
	unconfirmedFence Fence
	// delayedGrantUntil is the time until which such a grant may still be accepted.
	delayedGrantUntil time.Time
	// maybeRestarted means that the owner has not been reached since its last reply and may have
	// restarted; acceptedFence is the fence of the last grant that it accepted.
	maybeRestarted bool
	acceptedFence  Fence
	// restartGrantUntil is the time until which a grant that the owner rejects for its lower fence
	// may still be accepted by a later incarnation of the worker.
	restartGrantUntil time.Time
	// sentToStandbys means that standbys may have been informed that the owner holds the keys.
	sentToStandbys bool
	// recordedUngranted means that the stored record may state that the owner has been sent no grant. None
	// is sent before a record is stored that no longer does; see recordFirstGrant.
	recordedUngranted bool
	// pending is the move that takes effect once it is stored; nil if there is none.
	pending *pendingMove
	// previous are workers that may still hold the keys. The owner gets its grant after all of them
	// have released the keys or their holds have expired.
	previous []previousOwner
	// inFlight means that an order for these keys has been sent and has not ended.
	inFlight bool
	// nextOrderAt is the earliest time for the next order.
	nextOrderAt time.Time
}

// previousOwner is a worker that may still hold keys of which another worker has become the owner.
type previousOwner struct {
	worker workers.ID
	// grantTerm is the last term whose leader may have granted it the keys.
	grantTerm Term
	// heldUntil is when its hold ends at the latest, and inheritedUntil the same for a hold that an
	// earlier leader granted.
	heldUntil, inheritedUntil time.Time
	// delayedGrantUntil is the time until which it may still accept an unanswered grant; zero if
	// there is none.
	delayedGrantUntil time.Time
	// restartGrantUntil is the same for a later incarnation of the worker.
	restartGrantUntil time.Time
	// delayedHeldUntil is when its hold ends at the latest if it accepts an unanswered grant with a delay;
	// zero if that is not assumed.
	delayedHeldUntil time.Time
	// reportedWait is what was last reported of waiting for such a grant; see reportDelayedGrantWaits.
	reportedWait delayedGrantWaitState
	// holdsVersion is the first version of the holds without this owner; zero if no standby was
	// ever informed that it holds the keys.
	holdsVersion uint64
}

// pendingMove is a move that is not stored yet. Until it is, the owner keeps the keys, so that an
// outage of the store leaves no keys without an owner.
type pendingMove struct {
	to            workers.ID
	fence         Fence
	recordVersion uint64
	// recordedUngranted is that of the span once the move has begun.
	recordedUngranted bool
}

// held reports whether the owner holds the keys and no other worker can.
func (s *span) held() bool { return s.granted && len(s.previous) == 0 }

// mayHaveGrant reports whether the owner may have accepted a grant or may still do so. If not, no
// connection was established for any grant to it, and a move need not wait for its hold to end. When
// moves did wait, the keys of a worker that had crashed before its first grant were unavailable for
// up to 10.1 s after they were moved: the duration of a lost standby's delegation plus that of a
// hold.
func (s *span) mayHaveGrant() bool {
	return s.granted || s.unconfirmed || s.sentToStandbys || !s.heldUntil.IsZero() || !s.inheritedUntil.IsZero() || !s.delayedGrantUntil.IsZero()
}

// stable reports whether the keys are held and no move is pending.
func (s *span) stable() bool { return s.held() && s.pending == nil }

// finalOwner returns the worker that owns the keys once a pending move is done.
func (s *span) finalOwner() workers.ID {
	if s.pending != nil {
		return s.pending.to
	}
	return s.owner
}

// split returns a span of exactly these keys, dividing the span that contains them. It returns nil
// if the keys are not within one span, or if an order for them is in flight.
func (l *Ledger) split(keys KeyRange) *span {
	index := slices.IndexFunc(l.spans, func(s *span) bool { return s.keys.Contains(keys.From) })
	if index < 0 || l.spans[index].inFlight || !l.spans[index].keys.Contains(keys.To) {
		return nil
	}
	whole := l.spans[index]
	var parts []*span
	if whole.keys.From < keys.From {
		parts = append(parts, whole.withKeys(KeyRange{whole.keys.From, keys.From - 1}))
	}
	middle := whole.withKeys(keys)
	parts = append(parts, middle)
	if keys.To < whole.keys.To {
		parts = append(parts, whole.withKeys(KeyRange{keys.To + 1, whole.keys.To}))
	}
	l.spans = slices.Replace(l.spans, index, index+1, parts...)
	return middle
}

func (s *span) withKeys(keys KeyRange) *span {
	part := *s
	part.keys = keys
	part.previous = slices.Clone(s.previous)
	return &part
}

// Merge joins adjacent stable spans of the same owner that have no order in flight and no
// unconfirmed grant, except at boundaries of placement rules. If their fences differ, the joined
// span takes the higher one.
func (l *Ledger) Merge() {
	merged := l.spans[:0:0]
	for _, next := range l.spans {
		if len(merged) > 0 && !l.boundaries[next.keys.From] && mergeable(merged[len(merged)-1], next) {
			last := merged[len(merged)-1]
			last.keys.To = next.keys.To
			if last.fence != next.fence {
				last.fence = max(last.fence, next.fence)
				l.holdsVersion++
			}
			last.heldUntil = later(last.heldUntil, next.heldUntil)
			last.restartGrantUntil = later(last.restartGrantUntil, next.restartGrantUntil)
			last.guaranteedUntil = earlier(last.guaranteedUntil, next.guaranteedUntil)
			last.nextOrderAt = earlier(last.nextOrderAt, next.nextOrderAt)
			last.recordVersion = max(last.recordVersion, next.recordVersion)
			continue
		}
		merged = append(merged, next)
	}
	l.spans = merged
}

func mergeable(left, right *span) bool {
	return left.owner == right.owner && left.stable() && right.stable() &&
		!left.inFlight && !right.inFlight && !left.unconfirmed && !right.unconfirmed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
