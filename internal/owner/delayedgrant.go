package owner

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// An unanswered grant may be accepted with a delay. If workers are suspected of that when the grant ends,
// keys that move away wait for the hold that may begin so late, unless the worker releases them first.

// DelayedGrantWait states that the hold of a previous owner has expired, except that the worker may still
// accept an unanswered grant with a delay.
type DelayedGrantWait struct {
	Keys   KeyRange
	Worker workers.ID
	// Awaited means that the keys wait for that.
	Awaited bool
	// Remaining is the time until the worker holds nothing even if it accepts the grant.
	Remaining time.Duration
}

// delayedGrantWaitState is what was last reported of waiting for a delayed grant.
type delayedGrantWaitState int

const (
	waitUnreported delayedGrantWaitState = iota
	waitAwaited
	waitRuledOut
)

// awaitsDelayedGrant reports whether keys wait for a previous owner because it may accept an unanswered
// grant with a delay.
func (l *Ledger) awaitsDelayedGrant(now time.Time, old previousOwner) bool {
	return !now.After(old.delayedHeldUntil)
}

// reportDelayedGrantWaits adds the waits of a span's previous owners to those that TakeDelayedGrantWaits
// returns: each when it begins, and again when the grant is no longer awaited.
func (l *Ledger) reportDelayedGrantWaits(now time.Time, s *span) {
	for index := range s.previous {
		old := &s.previous[index]
		if now.After(old.delayedHeldUntil) || l.ended[old.worker] || !l.promptGrantsExpired(now, *old) {
			continue
		}
		awaited, state := l.awaitsDelayedGrant(now, *old), waitRuledOut
		if awaited {
			state = waitAwaited
		}
		if old.reportedWait == state {
			continue
		}
		old.reportedWait = state
		wait := DelayedGrantWait{Keys: s.keys, Worker: old.worker, Awaited: awaited, Remaining: old.delayedHeldUntil.Sub(now)}
		l.delayedGrantWaits = append(l.delayedGrantWaits, wait)
	}
}

// TakeDelayedGrantWaits returns the waits that were reported since the last call.
func (l *Ledger) TakeDelayedGrantWaits() []DelayedGrantWait {
	waits := l.delayedGrantWaits
	l.delayedGrantWaits = nil
	return waits
}
