package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// doubt is a grant without an answer whose worker was not reached until its keys
// went to another. Should the worker take it late, it would do so under an old
// fence; so it is told the new one as soon as it is reached.
type doubt struct {
	worker workers.ID
	keys   Keys
	fence  Fence
	until  time.Time
	next   time.Time
	busy   bool
}

// addDoubt remembers a former holder that was outwaited, not released.
func (b *Book) addDoubt(now time.Time, old former, of *span) {
	if b.ended[old.worker] || !now.Before(old.lateUntil) {
		return
	}
	b.change++ // a next leader must know of it
	b.doubts = append(b.doubts, &doubt{worker: old.worker, keys: of.keys, fence: of.fence, until: old.lateUntil, next: now})
}

// dropDoubts forgets doubts about a worker that gets the keys again: the grant
// itself has a higher fence, and a release would take them away. It returns until when
// the worker may take what is in doubt; zero if nothing is.
func (b *Book) dropDoubts(worker workers.ID, keys Keys) time.Time {
	until := time.Time{}
	b.doubts = slices.DeleteFunc(b.doubts, func(one *doubt) bool {
		drop := one.worker == worker && one.keys.From <= keys.To && one.keys.To >= keys.From
		if drop {
			until = later(until, one.until)
		}
		return drop
	})
	return until
}

// dueDoubts returns the releases that raise fences at workers in doubt.
func (b *Book) dueDoubts(now time.Time) []Order {
	b.doubts = slices.DeleteFunc(b.doubts, func(one *doubt) bool {
		return !one.busy && (b.ended[one.worker] || now.After(one.until))
	})
	var due []Order
	for _, one := range b.doubts {
		if one.busy || now.Before(one.next) {
			continue
		}
		one.busy = true
		due = append(due, Order{
			Target: Target{ID: one.worker, Address: b.addresses[one.worker]},
			Keys:   one.keys, Fence: one.fence, Release: true, sentAt: now, doubt: one,
		})
	}
	return due
}

// doubted takes the end of such a release.
func (b *Book) doubted(now time.Time, one *doubt, reply Reply) {
	one.busy = false
	one.next = now.Add(b.config.RetryOrder)
	if reply.Outcome == OutcomeDone || reply.Outcome == OutcomeOther {
		one.until = time.Time{}
	}
}
