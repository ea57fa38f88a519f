package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// doubt is a grant without an answer whose keys went to another worker. Should the first
// one take it late, it would do so under an old fence; so it is told the new one as soon as it is
// reached, and again if it starts again meanwhile: a new life has seen no fence.
type doubt struct {
	worker workers.ID
	keys   KeyRange
	fence  Fence
	until  time.Time
	next   time.Time
	busy   bool
	// told says that the worker's last known life was told.
	told bool
}

// addDoubt remembers a former holder that was outwaited, not released; false if nothing is in
// doubt.
func (b *Ledger) addDoubt(now time.Time, old former, of *span) bool {
	if !now.Before(old.lateUntil) {
		return false
	}
	b.change++ // a next leader must know of it
	until := later(old.lateUntil, old.forgottenUntil)
	b.doubts = append(b.doubts, &doubt{worker: old.worker, keys: of.keys, fence: of.fence, until: until, next: now})
	return true
}

// addToldDoubt remembers a former holder that refuses what it may be sent late, unless it starts
// again.
func (b *Ledger) addToldDoubt(now time.Time, old former, of *span) {
	if !b.tellsLives(old.worker) || !now.Before(old.forgottenUntil) {
		return
	}
	b.change++
	b.doubts = append(b.doubts, &doubt{worker: old.worker, keys: of.keys, fence: of.fence, until: old.forgottenUntil, told: true})
}

// dropDoubts forgets doubts about a worker that gets the keys again: the grant
// itself has a higher fence, and a release would take them away. It returns until when
// the worker may take what is in doubt; zero if nothing is.
func (b *Ledger) dropDoubts(worker workers.ID, keys KeyRange) time.Time {
	until := time.Time{}
	var rest []*doubt
	b.doubts = slices.DeleteFunc(b.doubts, func(one *doubt) bool {
		drop := one.worker == worker && one.keys.From <= keys.To && one.keys.To >= keys.From
		if drop {
			until = later(until, one.until)
			rest = append(rest, one.beside(keys)...)
		}
		return drop
	})
	b.doubts = append(b.doubts, rest...)
	return until
}

// beside returns the doubts about the keys that are not among others.
func (d *doubt) beside(keys KeyRange) []*doubt {
	var parts []*doubt
	for _, part := range []KeyRange{{d.keys.From, keys.From - 1}, {keys.To + 1, d.keys.To}} {
		if part.From <= part.To {
			parts = append(parts, &doubt{worker: d.worker, keys: part, fence: d.fence, until: d.until, next: d.next, told: d.told})
		}
	}
	return parts
}

// dueDoubts returns the releases that raise fences at workers in doubt.
func (b *Ledger) dueDoubts(now time.Time) []Order {
	b.doubts = slices.DeleteFunc(b.doubts, func(one *doubt) bool {
		return !one.busy && (now.After(one.until) || (b.ended[one.worker] && !b.tellsLives(one.worker)))
	})
	var due []Order
	for _, one := range b.doubts {
		if one.busy || one.told || b.ended[one.worker] || now.Before(one.next) {
			continue
		}
		one.busy = true
		due = append(due, Order{
			Target: b.target(one.worker),
			Keys:   one.keys, Fence: one.fence, Release: true, sentAt: now, doubt: one,
		})
	}
	return due
}

// doubted takes the end of such a release.
func (b *Ledger) doubted(now time.Time, order Order, reply Reply) {
	one := order.doubt
	one.busy = false
	one.next = now.Add(b.config.RetryDelay)
	if (reply.Outcome == OutcomeDone || reply.Outcome == OutcomeOtherWorker) && !order.overtaken {
		one.told = true
		if !b.tellsLives(one.worker) {
			one.until = time.Time{} // it does not start again under its ID
		}
	}
}
