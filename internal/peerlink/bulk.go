package peerlink

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// A process that has just linked lacks all workers and all owners of keys. Where these take more
// than one message, it is told them in pieces, each of which is a message like any other: with
// heartbeats and news between them, and no longer than the link takes in a moment. A few links are
// told at a time and the others wait, so that the first ones know all early, and the pieces
// together leave a part of the machine's bandwidth to everything else.

const (
	// bulkLinks is how many links are told pieces at the same time.
	bulkLinks = 8
	// bulkShare is the part of the machine's bandwidth that pieces may take.
	bulkShare = 0.75
)

// bulk is which links are told pieces now. The hub's lock guards it; the zero value is idle.
type bulk struct {
	told []*link
	// waiting are the links that come next, in the order in which they asked.
	waiting []*link
	// free is when the bandwidth takes the next piece.
	free time.Time
}

// admits reports whether a link may be told a piece at a time. A link whose turn has not come
// waits for it.
func (b *bulk) admits(one *link, now time.Time) bool {
	if slices.Contains(b.told, one) {
		return !now.Before(b.free)
	}
	if len(b.told) < bulkLinks && (len(b.waiting) == 0 || b.waiting[0] == one) {
		b.waiting = slices.DeleteFunc(b.waiting, func(other *link) bool { return other == one })
		b.told = append(b.told, one)
		return !now.Before(b.free)
	}
	if !slices.Contains(b.waiting, one) {
		b.waiting = append(b.waiting, one)
	}
	return false
}

// spend takes the bandwidth for a piece; a rate of zero has no bounds.
func (b *bulk) spend(now time.Time, bytes int, rate float64) {
	if rate <= 0 {
		return
	}
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(bytes) / (bulkShare * rate) * float64(time.Second)))
}

// leave ends a link's turn, or its wait for one, and lets the next one begin.
func (b *bulk) leave(one *link) {
	is := func(other *link) bool { return other == one }
	if !slices.Contains(b.told, one) && !slices.Contains(b.waiting, one) {
		return
	}
	b.told = slices.DeleteFunc(b.told, is)
	b.waiting = slices.DeleteFunc(b.waiting, is)
	if len(b.told) < bulkLinks && len(b.waiting) > 0 {
		b.waiting[0].rouse()
	}
}

// nextPiece returns what tells when a link may be told its next piece; nil if it lacks none, or
// is not in turn.
func (h *Hub) nextPiece(one *link) <-chan time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(h.bulk.told, one) {
		return nil
	}
	return time.After(max(0, h.bulk.free.Sub(clock.Now())))
}

// lacksPieces reports whether a link is to be told more pieces. The caller holds mu.
func (h *Hub) lacksPieces(one *link) bool {
	if h.listsTo(one) {
		return true
	}
	for service, state := range h.owners {
		if state.bulky() && !one.sent[service].whole() {
			return true
		}
	}
	return false
}
