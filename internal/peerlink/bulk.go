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
	// bulkBandwidthShare is the part of the machine's bandwidth that pieces may take.
	bulkBandwidthShare = 0.75
)

// bulk is which links are told pieces now. The hub's lock guards it; the zero value is idle.
type bulkTransfers struct {
	active []*link
	// waiting are the links that come next, in the order in which they asked.
	waiting []*link
	// free is when the bandwidth takes the next piece.
	nextFree time.Time
}

// admits reports whether a link may be told a piece at a time. A link whose turn has not come
// waits for it.
func (b *bulkTransfers) admit(l *link, now time.Time) bool {
	if slices.Contains(b.active, l) {
		return !now.Before(b.nextFree)
	}
	if len(b.active) < bulkLinks && (len(b.waiting) == 0 || b.waiting[0] == l) {
		b.waiting = slices.DeleteFunc(b.waiting, func(other *link) bool { return other == l })
		b.active = append(b.active, l)
		return !now.Before(b.nextFree)
	}
	if !slices.Contains(b.waiting, l) {
		b.waiting = append(b.waiting, l)
	}
	return false
}

// spend takes the bandwidth for a piece; a rate of zero has no bounds.
func (b *bulkTransfers) reserve(now time.Time, bytes int, rate float64) {
	if rate <= 0 {
		return
	}
	if b.nextFree.Before(now) {
		b.nextFree = now
	}
	b.nextFree = b.nextFree.Add(time.Duration(float64(bytes) / (bulkBandwidthShare * rate) * float64(time.Second)))
}

// leave ends a link's turn, or its wait for one, and lets the next one begin.
func (b *bulkTransfers) release(l *link) {
	isLink := func(other *link) bool { return other == l }
	if !slices.Contains(b.active, l) && !slices.Contains(b.waiting, l) {
		return
	}
	b.active = slices.DeleteFunc(b.active, isLink)
	b.waiting = slices.DeleteFunc(b.waiting, isLink)
	if len(b.active) < bulkLinks && len(b.waiting) > 0 {
		b.waiting[0].signal()
	}
}

// nextPieceKeys returns what tells when a link may be told its next piece; nil if it lacks none, or
// is not in turn.
func (h *Hub) pieceTimer(l *link) <-chan time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(h.bulkTransfers.active, l) {
		return nil
	}
	return time.After(max(0, h.bulkTransfers.nextFree.Sub(clock.Now())))
}

// lacksPieces reports whether a link is to be told more pieces. The caller holds mu.
func (h *Hub) needsPieces(l *link) bool {
	if h.needsPagedList(l) {
		return true
	}
	for service, state := range h.owners {
		if state.needsPieces() && !l.sentOwners[service].complete() {
			return true
		}
	}
	return false
}
