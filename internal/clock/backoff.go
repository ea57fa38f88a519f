package clock

import (
	"context"
	"time"
)

// Backoff is a pause that doubles with each failure up to a longest one: a service that
// is away is asked less often, and every call has its price. It is not safe for
// concurrent use.
type Backoff struct {
	First, Longest time.Duration
	next           time.Duration
}

// Sleep waits after a failure, and reports false if ctx ended first.
func (b *Backoff) Sleep(ctx context.Context) bool {
	b.next = min(max(b.First, 2*b.next), b.Longest)
	return Sleep(ctx, b.next)
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.next = 0 }
