// Package clock holds what the packages share that deal with time.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, and reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
