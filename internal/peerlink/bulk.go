package peerlink

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// A process that has just linked lacks all workers and all owners of keys. If these take more than
// one message, they are sent in pieces. Each piece is an ordinary message, with heartbeats and
// changes in between, and is small enough that the link transmits it quickly. Only a few links
// receive pieces at a time while the others wait, so that the first ones are complete early, and
// pieces use only a part of the machine's bandwidth.

const (
	// bulkLinks is the number of links that receive pieces at the same time.
	bulkLinks = 8
	// bulkBandwidthShare is the share of the machine's bandwidth that pieces may use.
	bulkBandwidthShare = 0.75
)

// bulkTransfers tracks the links that receive pieces now. It is guarded by the hub's lock; the zero
// value is idle.
type bulkTransfers struct {
	active []*link
	// waiting are the links that come next, in the order in which they requested a transfer.
	waiting []*link
	// nextFree is when the bandwidth limit permits the next piece.
	nextFree time.Time
}

// admit reports whether a link may be sent a piece now. A link whose turn has not come is queued.
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

// reserve accounts for the bandwidth of a piece. A rate of zero means no limit.
func (b *bulkTransfers) reserve(now time.Time, bytes int, rate float64) {
	if rate <= 0 {
		return
	}
	if b.nextFree.Before(now) {
		b.nextFree = now
	}
	b.nextFree = b.nextFree.Add(time.Duration(float64(bytes) / (bulkBandwidthShare * rate) * float64(time.Second)))
}

// release ends a link's transfer, or removes it from the queue, and lets the next link start.
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

// pieceTimer returns a channel that fires when a link may be sent its next piece, or nil if the
// link has no active transfer.
func (h *Hub) pieceTimer(l *link) <-chan time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(h.bulkTransfers.active, l) {
		return nil
	}
	return time.After(max(0, h.bulkTransfers.nextFree.Sub(clock.Now())))
}

// needsPieces reports whether a link is to be sent more pieces. The caller holds mu.
func (h *Hub) needsPieces(l *link) bool {
	if h.needsPagedList(l) {
		return true
	}
	for service, published := range h.owners {
		if published.needsPieces() && !l.sentOwners[service].complete() {
			return true
		}
	}
	return false
}
