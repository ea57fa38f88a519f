package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Order is a grant or release that the ledger wants to be sent.
type Order struct {
	Target      Target
	Keys        KeyRange
	Fence       Fence
	Release     bool
	Grant       Grant
	sentAt      time.Time
	span        *span
	unconfirmed *unconfirmedGrant
	// targetRestarted means that the worker has restarted since the order was sent: either
	// incarnation may have replied.
	targetRestarted bool
}

// Due returns the orders to send now. With renewOnly these are only renewals of keys that are
// already held.
func (l *Ledger) Due(now time.Time, renewOnly bool) []Order {
	var due []Order
	for _, s := range l.spans {
		if !renewOnly {
			l.advanceMove(now, s)
		}
		if s.inFlight || now.Before(s.nextOrderAt) {
			continue
		}
		if order, ok := l.nextOrder(now, s, renewOnly); ok {
			s.inFlight = true
			due = append(due, order)
		}
	}
	if !renewOnly {
		due = append(due, l.dueFenceUpdates(now)...)
	}
	return due
}

// advanceMove begins a move that is stored, or records that the new owner gets its first grant.
func (l *Ledger) advanceMove(now time.Time, s *span) {
	if !s.inFlight && s.pending != nil && s.pending.recordVersion <= l.storedVersion {
		l.beginMove(now, s)
	}
	l.recordFirstGrant(now, s)
}

func (l *Ledger) nextOrder(now time.Time, s *span, renewOnly bool) (Order, bool) {
	if renewOnly && !s.held() {
		return Order{}, false
	}
	l.reportDelayedGrantWaits(now, s)
	s.previous = slices.DeleteFunc(s.previous, func(old previousOwner) bool {
		if !l.ended[old.worker] && !l.holdExpired(now, old) {
			return false
		}
		old.delayedGrantUntil = l.delayedGrantsEnd(old)
		if !l.addUnconfirmed(now, old, s) {
			l.addAcknowledged(now, old, s)
		}
		return true
	})
	if len(s.previous) > 0 {
		from := s.previous[0].worker
		return Order{
			Target:  l.target(from),
			Keys:    s.keys,
			Fence:   s.fence,
			Release: true,
			sentAt:  now,
			span:    s,
		}, true
	}
	if s.recordVersion > l.storedVersion || l.ended[s.owner] {
		return Order{}, false
	}
	if s.recordedUngranted {
		return Order{}, false // the stored record may say so
	}
	if s.pending != nil && !s.mayHaveGrant() {
		return Order{}, false // the record being stored omits this owner: it never had the keys
	}
	// A worker that could not be reached may have restarted since. A new incarnation is granted the
	// keys under a higher fence, too.
	restarted := s.maybeRestarted && s.fence == s.acceptedFence && l.reportsStartTime(s.owner)
	if (s.unconfirmed || restarted) && !renewOnly {
		s.fence = l.nextFence()
		l.holdsVersion++
	}
	grant := Grant{Keys: s.keys, Fence: s.fence, Hold: l.config.Hold, Handover: s.handover}
	return Order{
		Target: l.target(s.owner),
		Keys:   s.keys, Fence: s.fence, Grant: grant, sentAt: now, span: s,
	}, true
}

// HandleReply processes the result of an order.
func (l *Ledger) HandleReply(now time.Time, order Order, reply Reply) {
	order.targetRestarted = order.Target.StartTime != l.startTimes[order.Target.ID]
	if !order.targetRestarted {
		reply.Outcome = l.resolveDispute(order.Target.ID, reply.Outcome)
		l.recordOutcome(now, order, reply.Outcome)
	}
	if order.unconfirmed != nil {
		l.handleFenceUpdateReply(now, order, reply)
		return
	}
	s := order.span
	s.inFlight = false
	if order.Release {
		l.handleReleaseReply(now, s, order, reply)
		return
	}
	if order.targetRestarted && reply.Outcome == OutcomeDone {
		reply.Outcome = OutcomeUnanswered // accepted by the previous incarnation, or under an outdated fence
	}
	l.handleGrantReply(now, s, order, reply)
	if order.targetRestarted {
		s.nextOrderAt = now // send the new incarnation a higher fence at once
	}
}

// recordOutcome notes whether a worker replies, and whether orders may be delayed.
func (l *Ledger) recordOutcome(now time.Time, order Order, outcome Outcome) {
	worker := order.Target.ID
	switch outcome {
	case OutcomeUnanswered:
		if order.timedOut(now) {
			l.lastUnanswered[worker] = now
		}
		l.recordFailure(now, worker, outcome)
	case OutcomeUnreachable:
		l.recordFailure(now, worker, outcome)
	case OutcomeOtherWorker:
		l.ended[worker] = true
	default:
		if failedAt, known := l.lastUnanswered[worker]; known && now.Sub(failedAt) < l.config.MaxOrderDelay {
			l.delaySuspectedAt = now
		}
		delete(l.lastUnanswered, worker)
		delete(l.failing, worker)
	}
}

// failure is a series of consecutive failed orders to one worker.
type failure struct {
	since, last time.Time
	// unreachableSince is since when nothing has reached the worker: each order to it has failed to
	// connect, and no process has reported a response of it. It is zero if the last order connected.
	unreachableSince time.Time
}

// failureExpiry is how long a worker counts as failing after its last failed order. Then it is
// tried again.
const failureExpiry = 3 * time.Second

func (l *Ledger) recordFailure(now time.Time, worker workers.ID, outcome Outcome) {
	series, failing := l.failing[worker]
	if !failing || now.Sub(series.last) > failureExpiry {
		series = failure{since: now}
	}
	series.last = now
	switch {
	case outcome != OutcomeUnreachable:
		series.unreachableSince = time.Time{}
	case series.unreachableSince.IsZero():
		series.unreachableSince = now
	}
	l.failing[worker] = series
}

// Bounds of the time after which an unanswered grant is attributed to its worker: a broken
// connection fails sooner, and a leader that was itself paused notices later.
const (
	minTimeout = 300 * time.Millisecond
	maxTimeout = 1500 * time.Millisecond
)

// timedOut reports whether the worker left the order unanswered, as opposed to a broken connection
// or a pause of this process. A release waits for work in flight, so its delay says nothing about
// the worker.
func (o Order) timedOut(now time.Time) bool {
	waited := now.Sub(o.sentAt)
	return !o.Release && waited >= minTimeout && waited <= maxTimeout
}

// ordersDelayed reports whether workers may currently be carrying out orders with a delay.
func (l *Ledger) ordersDelayed(now time.Time) bool {
	return !l.delaySuspectedAt.IsZero() && now.Sub(l.delaySuspectedAt) < 2*l.config.MaxOrderDelay
}

func (l *Ledger) handleReleaseReply(now time.Time, s *span, order Order, reply Reply) {
	switch reply.Outcome {
	case OutcomeDone, OutcomeOtherWorker:
		if order.targetRestarted {
			s.nextOrderAt = now
			return
		}
		s.previous = slices.DeleteFunc(s.previous, func(old previousOwner) bool {
			if old.worker == order.Target.ID {
				old.restartGrantUntil = later(old.restartGrantUntil, l.delayedGrantsEnd(old))
				l.addAcknowledged(now, old, s)
			}
			return old.worker == order.Target.ID
		})
		if reply.Handover != "" {
			s.handover = reply.Handover
		}
		s.nextOrderAt = now
	default:
		s.nextOrderAt = now.Add(l.config.RetryDelay)
		if len(s.previous) > 1 {
			s.previous = append(s.previous[1:], s.previous[0])
		}
	}
}

func (l *Ledger) handleGrantReply(now time.Time, s *span, order Order, reply Reply) {
	bound := l.config.MaxHold()
	switch reply.Outcome {
	case OutcomeDone:
		if !s.granted {
			l.assignmentVersion++
			l.holdsVersion++
		}
		s.granted, s.sentToStandbys, s.maybeRestarted, s.acceptedFence = true, true, false, order.Fence
		if !s.unconfirmed || order.Fence > s.unconfirmedFence {
			// This incarnation now rejects all earlier grants, and those that it has accepted end
			// sooner.
			s.unconfirmed = false
			if l.reportsStartTime(s.owner) {
				s.restartGrantUntil = later(s.restartGrantUntil, s.delayedGrantUntil)
			}
			s.delayedGrantUntil, s.delayedHeldUntil = time.Time{}, time.Time{}
			s.heldUntil, s.inheritedUntil = now.Add(bound), time.Time{}
		} else {
			s.heldUntil = later(s.heldUntil, now.Add(bound))
		}
		s.handover = ""
		s.guaranteedUntil = order.sentAt.Add(l.config.Hold)
		s.nextOrderAt = order.sentAt.Add(l.config.RenewInterval)
	case OutcomeFenced:
		// Another leader has granted the keys, or this leader's fence is too low.
		s.fence = l.nextFence()
		l.holdsVersion++
		s.nextOrderAt = now.Add(l.config.RetryDelay)
	case OutcomeUnanswered:
		s.unconfirmed = true
		s.unconfirmedFence = order.Fence
		s.delayedGrantUntil = now.Add(l.config.MaxOrderDelay)
		s.heldUntil = later(s.heldUntil, now.Add(bound))
		if l.ordersDelayed(now) {
			s.delayedHeldUntil = later(s.delayedHeldUntil, now.Add(l.config.MaxOrderDelay+bound))
		}
		s.nextOrderAt = now.Add(l.config.RetryDelay)
	case OutcomeUnreachable, OutcomeOtherWorker:
		s.maybeRestarted = true
		s.nextOrderAt = now.Add(l.config.RetryDelay)
	case OutcomeInvalid:
		s.nextOrderAt = now.Add(l.config.RetryDelay)
	}
}

// Failing reports whether all orders to a worker have failed for longer than a duration, or the
// worker is known to have ended.
func (l *Ledger) Failing(now time.Time, worker workers.ID, after time.Duration) bool {
	series, failing := l.failing[worker]
	return l.ended[worker] || (failing && now.Sub(series.since) > after && now.Sub(series.last) < failureExpiry)
}
