package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Order is one call that the book wants to be made.
type Order struct {
	Target  Target
	Keys    KeyRange
	Fence   Fence
	Release bool
	Grant   Grant
	sentAt  time.Time
	span    *span
	doubt   *doubt
	// overtaken says that its worker started again meanwhile: either life may have answered.
	overtaken bool
}

// Due returns the orders to send now. renewOnly allows nothing but renewals of
// what is already held.
func (b *Ledger) Due(now time.Time, renewOnly bool) []Order {
	var due []Order
	for _, one := range b.spans {
		if one.busy {
			continue
		}
		if !renewOnly && one.planned != nil && one.planned.change <= b.stored {
			b.begin(now, one)
		}
		if now.Before(one.next) {
			continue
		}
		if order, ok := b.dueFor(now, one, renewOnly); ok {
			one.busy = true
			due = append(due, order)
		}
	}
	if !renewOnly {
		due = append(due, b.dueDoubts(now)...)
	}
	return due
}

func (b *Ledger) dueFor(now time.Time, one *span, renewOnly bool) (Order, bool) {
	if renewOnly && !one.held() {
		return Order{}, false
	}
	one.formers = slices.DeleteFunc(one.formers, func(old former) bool {
		if !b.ended[old.worker] && !b.outwaited(now, old) {
			return false
		}
		old.lateUntil = b.lateUntil(old)
		if !b.addDoubt(now, old, one) {
			b.addToldDoubt(now, old, one)
		}
		return true
	})
	if len(one.formers) > 0 {
		from := one.formers[0].worker
		return Order{
			Target:  b.target(from),
			Keys:    one.keys,
			Fence:   one.fence,
			Release: true,
			sentAt:  now,
			span:    one,
		}, true
	}
	if one.change > b.stored || b.ended[one.owner] {
		return Order{}, false
	}
	if one.planned != nil && !one.reached() {
		return Order{}, false // the record being stored says that the owner never had them
	}
	// A worker that was not reached may have started again since: another life gets keys under
	// a higher fence, too.
	restarted := one.unsure && one.fence == one.takenFence && b.tellsLives(one.owner)
	if (one.doubtful || restarted) && !renewOnly {
		one.fence = b.nextFence()
		b.holdsVersion++
	}
	grant := Grant{Keys: one.keys, Fence: one.fence, Hold: b.config.Hold, Handover: one.handover}
	return Order{
		Target: b.target(one.owner),
		Keys:   one.keys, Fence: one.fence, Grant: grant, sentAt: now, span: one,
	}, true
}

// Answered takes the end of an order.
func (b *Ledger) HandleReply(now time.Time, order Order, reply Reply) {
	order.overtaken = order.Target.Incarnation != b.lives[order.Target.ID]
	if !order.overtaken {
		b.note(now, order, reply.Outcome)
	}
	if order.doubt != nil {
		b.doubted(now, order, reply)
		return
	}
	one := order.span
	one.busy = false
	if order.Release {
		b.released(now, one, order, reply)
		return
	}
	if order.overtaken && reply.Outcome == OutcomeDone {
		reply.Outcome = OutcomeUnanswered // by the life that is over, or under a fence of before
	}
	b.granted(now, one, order, reply)
	if order.overtaken {
		one.next = now // the new life is to see a higher fence at once
	}
}

// note learns whether a worker answers, and whether orders come late.
func (b *Ledger) note(now time.Time, order Order, outcome Outcome) {
	worker := order.Target.ID
	switch outcome {
	case OutcomeUnanswered:
		if order.silent(now) {
			b.unanswered[worker] = now
		}
		b.fails(now, worker)
	case OutcomeUnreachable:
		b.fails(now, worker)
	case OutcomeOtherWorker:
		b.ended[worker] = true
	default:
		if failed, had := b.unanswered[worker]; had && now.Sub(failed) < b.config.MaxOrderDelay {
			b.lateSeen = now
		}
		delete(b.unanswered, worker)
		delete(b.failing, worker)
	}
}

// failure is a run of failed orders.
type failure struct {
	since, last time.Time
}

// failureMemory is how long after its last failed order a worker counts as
// failing, so that it is tried again.
const failureMemory = 3 * time.Second

func (b *Ledger) fails(now time.Time, worker workers.ID) {
	run, failing := b.failing[worker]
	if !failing || now.Sub(run.last) > failureMemory {
		run.since = now
	}
	run.last = now
	b.failing[worker] = run
}

// Times after which a grant that had no answer was left so by its worker: a broken
// connection shows at once, and a process that was paused meanwhile looks later.
const (
	silentLeast = 300 * time.Millisecond
	silentMost  = 1500 * time.Millisecond
)

// silent reports whether the order was left without an answer, and not broken off
// or overtaken by a pause of this process. Releases wait for work and tell nothing.
func (o Order) silent(now time.Time) bool {
	waited := now.Sub(o.sentAt)
	return !o.Release && waited >= silentLeast && waited <= silentMost
}

// lateOrders reports whether orders are taken late these days.
func (b *Ledger) lateOrders(now time.Time) bool {
	return !b.lateSeen.IsZero() && now.Sub(b.lateSeen) < 2*b.config.MaxOrderDelay
}

func (b *Ledger) released(now time.Time, one *span, order Order, reply Reply) {
	switch reply.Outcome {
	case OutcomeDone, OutcomeOtherWorker:
		if order.overtaken {
			one.next = now
			return
		}
		one.formers = slices.DeleteFunc(one.formers, func(old former) bool {
			if old.worker == order.Target.ID {
				old.forgottenUntil = later(old.forgottenUntil, b.lateUntil(old))
				b.addToldDoubt(now, old, one)
			}
			return old.worker == order.Target.ID
		})
		if reply.Handover != "" {
			one.handover = reply.Handover
		}
		one.next = now
	default:
		one.next = now.Add(b.config.RetryDelay)
		if len(one.formers) > 1 {
			one.formers = append(one.formers[1:], one.formers[0])
		}
	}
}

func (b *Ledger) granted(now time.Time, one *span, order Order, reply Reply) {
	bound := b.config.MaxHold()
	switch reply.Outcome {
	case OutcomeDone:
		if !one.granted {
			b.shape++
			b.holdsVersion++
		}
		one.granted, one.listed, one.unsure, one.takenFence = true, true, false, order.Fence
		if !one.doubtful || order.Fence > one.doubtFence {
			// No earlier grant can be taken any more by this life, and those that were end
			// sooner.
			one.doubtful = false
			if b.tellsLives(one.owner) {
				one.forgottenUntil = later(one.forgottenUntil, one.takenUntil)
			}
			one.takenUntil = time.Time{}
			one.heldUntil = now.Add(bound)
		} else {
			one.heldUntil = later(one.heldUntil, now.Add(bound))
		}
		one.handover = ""
		one.surelyUntil = order.sentAt.Add(b.config.Hold)
		one.next = order.sentAt.Add(b.config.RenewInterval)
	case OutcomeFenced:
		// Another leader has given the keys, or this one's own fence is behind.
		one.fence = b.nextFence()
		b.holdsVersion++
		one.next = now.Add(b.config.RetryDelay)
	case OutcomeUnanswered:
		one.doubtful = true
		one.doubtFence = order.Fence
		one.takenUntil = now.Add(b.config.MaxOrderDelay)
		one.heldUntil = later(one.heldUntil, now.Add(bound))
		if b.lateOrders(now) {
			one.lateUntil = later(one.lateUntil, now.Add(b.config.MaxOrderDelay+bound))
		}
		one.next = now.Add(b.config.RetryDelay)
	case OutcomeUnreachable, OutcomeOtherWorker:
		one.unsure = true
		one.next = now.Add(b.config.RetryDelay)
	case OutcomeInvalid:
		one.next = now.Add(b.config.RetryDelay)
	}
}

// Failing reports whether all orders to a worker have failed for some time.
func (b *Ledger) Failing(now time.Time, worker workers.ID, after time.Duration) bool {
	run, failing := b.failing[worker]
	return b.ended[worker] || (failing && now.Sub(run.since) > after && now.Sub(run.last) < failureMemory)
}
