package owner

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// An unanswered grant may be accepted with a delay. If workers are suspected of that when the grant ends,
// keys that move away wait for the hold that may begin so late, unless the worker releases them first.
//
// They don't wait for a worker that nothing reaches, such as one that has crashed: no request can begin
// there, whatever it accepts. If it was only cut off, it is sent the new fence as soon as it is reached
// again (see unconfirmedGrant).

// responseReportTime is the longest time until this process is told of a response of a worker to another
// one: a second, and one more for each of at most two relays in between.
const responseReportTime = 3 * time.Second

// isUnreachable reports whether nothing has reached a worker for so long that a hold which began before then
// has expired. A connection that was refused once is not enough: a partition may refuse connections of this
// process and none of others, and the worker may have accepted a grant just before it.
func (l *Ledger) isUnreachable(now time.Time, worker workers.ID) bool {
	series, failing := l.failing[worker]
	return failing && now.Sub(series.last) < failureExpiry &&
		!series.unreachableSince.IsZero() && now.After(series.unreachableSince.Add(l.unreachableAfter()))
}

// unreachableAfter is how long nothing must have reached a worker until keys no longer wait for a grant that
// it may accept with a delay.
func (l *Ledger) unreachableAfter() time.Duration { return max(l.config.MaxHold(), responseReportTime) }

// ObserveResponse records that a process has reported a response of a worker to a request: requests reach
// it, even if orders don't.
func (l *Ledger) ObserveResponse(worker workers.ID) {
	if series, failing := l.failing[worker]; failing {
		series.unreachableSince = time.Time{}
		l.failing[worker] = series
	}
}

// DistrustFailures records that the orders that have failed so far don't show that workers are unreachable:
// this process may be the one that is cut off.
func (l *Ledger) DistrustFailures() {
	for worker := range l.failing {
		l.ObserveResponse(worker)
	}
}

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
	return !now.After(old.delayedHeldUntil) && !l.isUnreachable(now, old.worker)
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
