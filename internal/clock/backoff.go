package clock

import (
	"context"
	"time"
)

// Backoff is a delay that starts at Initial and doubles with each failure up to Max, so that an
// unavailable service gets fewer calls; each call has a cost. It is not safe for concurrent use.
type Backoff struct {
	Initial, Max time.Duration
	// next is the delay after the latest failure; zero if there was none since the last success.
	next time.Duration
}

// Sleep waits after a failure. It returns false if ctx ends first.
func (b *Backoff) Sleep(ctx context.Context) bool {
	return b.SleepAfter(ctx, 0)
}

// SleepAfter is like Sleep, but deducts the duration of the failed call from the delay, and waits
// at least Initial. Calls that time out then start no further apart than calls that are refused at
// once.
func (b *Backoff) SleepAfter(ctx context.Context, elapsed time.Duration) bool {
	b.next = min(max(b.Initial, 2*b.next), b.Max)
	return Sleep(ctx, max(b.Initial, b.next-elapsed))
}

// Reset resets the delay after a success.
func (b *Backoff) Reset() { b.next = 0 }
