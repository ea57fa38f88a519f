package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// span is one run of keys with the worker that shall hold it.
type span struct {
	keys  KeyRange
	owner workers.ID
	fence Fence
	// change is the book's change at which the owner was chosen; no grant goes
	// out before that change is stored.
	change uint64
	// granted says that the owner has answered a grant of this fence.
	granted  bool
	handover Handover
	// heldUntil is the latest time at which a grant to the owner may end.
	heldUntil time.Time
	// surelyUntil is until when the owner surely holds the keys.
	surelyUntil time.Time
	// lateUntil is the same as heldUntil for grants without an answer that may come late.
	lateUntil time.Time
	// doubtful says that a grant had no answer: the next has a higher fence, so
	// that the first one, if it comes late, is refused.
	doubtful bool
	// doubtFence is the fence of the last such grant.
	doubtFence Fence
	// takenUntil is until when such a grant may still be taken.
	takenUntil time.Time
	// unsure says that the owner was not reached since its last answer, and may have started
	// again; takenFence is the fence of the last grant that it took.
	unsure     bool
	takenFence Fence
	// forgottenUntil is until when a grant that the owner refuses for a higher fence may still
	// be taken by another life of it.
	forgottenUntil time.Time
	// listed says that a standby may have been told that the owner holds the keys.
	listed bool
	// planned is where the keys will go once that is stored; nil if they stay.
	planned *planned
	// formers may still hold the keys; the owner gets them after all are free.
	formers []former
	// busy says that an order on these keys is under way.
	busy bool
	// next is when the next order may go out.
	next time.Time
}

// former is a worker that may still hold keys.
type former struct {
	worker workers.ID
	// until is when its hold ends at the latest.
	until time.Time
	// lateUntil is until when it may still take a grant that had no answer; zero
	// if there is none.
	lateUntil time.Time
	// forgottenUntil is the same for another life of it.
	forgottenUntil time.Time
	// version is the first version of the holds without it; zero if no standby was ever
	// told that it holds the keys.
	version uint64
}

// planned is a move that is not stored yet. Until it is, the owner goes on holding
// the keys, so that trouble of the store takes nobody's keys.
type planned struct {
	to     workers.ID
	fence  Fence
	change uint64
}

// held reports whether the owner holds the keys and nobody else can.
func (s *span) held() bool { return s.granted && len(s.formers) == 0 }

// reached reports whether a grant to the owner may have been taken, or may still be. No
// connection came up for the others, so nobody need wait until the owner's hold ends. With
// such waits the keys of a worker that had crashed before its first grant stood still for
// up to 10.1 s after they were given on: the leave of a lost standby, and a hold.
func (s *span) reached() bool {
	return s.granted || s.doubtful || s.listed || !s.heldUntil.IsZero() || !s.takenUntil.IsZero()
}

// settled reports whether the keys are held and stay.
func (s *span) settled() bool { return s.held() && s.planned == nil }

// destination returns the worker that shall hold the keys in the end.
func (s *span) destination() workers.ID {
	if s.planned != nil {
		return s.planned.to
	}
	return s.owner
}

// cut returns the span of exactly these keys, splitting the one that has them.
func (b *Ledger) cut(keys KeyRange) *span {
	index := slices.IndexFunc(b.spans, func(s *span) bool { return s.keys.Contains(keys.From) })
	if index < 0 || b.spans[index].busy || !b.spans[index].keys.Contains(keys.To) {
		return nil
	}
	whole := b.spans[index]
	var parts []*span
	if whole.keys.From < keys.From {
		parts = append(parts, whole.part(KeyRange{whole.keys.From, keys.From - 1}))
	}
	middle := whole.part(keys)
	parts = append(parts, middle)
	if keys.To < whole.keys.To {
		parts = append(parts, whole.part(KeyRange{keys.To + 1, whole.keys.To}))
	}
	b.spans = slices.Replace(b.spans, index, index+1, parts...)
	return middle
}

func (s *span) part(keys KeyRange) *span {
	part := *s
	part.keys = keys
	part.formers = slices.Clone(s.formers)
	return &part
}

// Merge joins neighbours that the same worker holds under the same fence, or
// under different ones where both are settled: the joined span takes the higher.
func (b *Ledger) Merge() {
	merged := b.spans[:0:0]
	for _, next := range b.spans {
		if len(merged) > 0 && !b.bounds[next.keys.From] && mergeable(merged[len(merged)-1], next) {
			last := merged[len(merged)-1]
			last.keys.To = next.keys.To
			if last.fence != next.fence {
				last.fence = max(last.fence, next.fence)
				b.holdsVersion++
			}
			last.heldUntil = later(last.heldUntil, next.heldUntil)
			last.forgottenUntil = later(last.forgottenUntil, next.forgottenUntil)
			last.surelyUntil = earlier(last.surelyUntil, next.surelyUntil)
			last.next = earlier(last.next, next.next)
			last.change = max(last.change, next.change)
			continue
		}
		merged = append(merged, next)
	}
	b.spans = merged
}

func mergeable(left, right *span) bool {
	return left.owner == right.owner && left.settled() && right.settled() &&
		!left.busy && !right.busy && !left.doubtful && !right.doubtful
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
