package clock

import (
	"context"
	"time"
)

// Backoff is a pause that doubles with each failure up to a longest one: a service that
// is away is asked less often, and every call has its price. It is not safe for
// concurrent use.
type Backoff struct {
	Initial, Max time.Duration
	next         time.Duration
}

// Sleep waits after a failure, and reports false if ctx ended first.
func (b *Backoff) Sleep(ctx context.Context) bool {
	return b.SleepAfter(ctx, 0)
}

// SleepRest is Sleep after a call that failed after a time: the time counts as part of the
// pause, of which First is left at least. Calls that time out then begin no further apart
// than those that are refused at once.
func (b *Backoff) SleepAfter(ctx context.Context, took time.Duration) bool {
	b.next = min(max(b.Initial, 2*b.next), b.Max)
	return Sleep(ctx, max(b.Initial, b.next-took))
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.next = 0 }
