// Package bodies holds the bodies of requests and answers that are in flight: within a bound
// of memory, judged by their progress, and in turns on the machine's link.
package bodies

import (
	"context"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Small is the length in bytes up to which a body counts as small: it goes on while large
// ones are refused. It holds the forms and records that callers send all day.
const MaxSmall = 16 << 10

const (
	// largeShare is the share of a room that large bodies may fill; the rest is for small ones.
	largeShare = 0.875
	// calmShare is the share up to which a room that was full must have emptied to be told as
	// such, so that one that stays nearly full is told once.
	calmShare = 0.5
)

// Room counts the memory of bodies in flight and bounds it. It is safe for concurrent use.
type MemoryBudget struct {
	// Changed is told when large bodies find no room, and when there is room again; nil for
	// nobody.
	OnChange func(full bool, used int64)

	mu    sync.Mutex
	limit int64
	used  int64
	full  bool
	// freed is closed once memory is given back; nil while nobody waits.
	freed chan struct{}
}

// NewMemoryBudget returns a room of so many bytes; zero: without a bound.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Used returns the bytes that are taken.
func (r *MemoryBudget) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Limit returns the room's bytes; zero: without a bound.
func (r *MemoryBudget) Limit() int64 { return r.limit }

// Take takes bytes for a part of a large body; false if there is no room.
func (r *MemoryBudget) Reserve(bytes int64) bool {
	taken, _ := r.take(bytes)
	return taken
}

// TakeSmall takes bytes for a small body; false if there is no room even for such.
func (r *MemoryBudget) ReserveSmall(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit > 0 && r.used+bytes > r.limit {
		return false
	}
	r.used += bytes
	return true
}

// Await takes bytes for a large body, and waits for them for a while if need be.
func (r *MemoryBudget) ReserveWithin(ctx context.Context, bytes int64, patience time.Duration) bool {
	until := clock.Now().Add(patience)
	for {
		taken, freed := r.take(bytes)
		if taken {
			return true
		}
		timer := time.NewTimer(clock.Until(until))
		select {
		case <-freed:
			timer.Stop()
		case <-timer.C:
			return false
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// take takes bytes for a large body, or returns what is closed once some are given back.
func (r *MemoryBudget) take(bytes int64) (taken bool, freed <-chan struct{}) {
	r.mu.Lock()
	if r.limit == 0 || float64(r.used+bytes) <= largeShare*float64(r.limit) {
		r.used += bytes
		r.mu.Unlock()
		return true, nil
	}
	if r.freed == nil {
		r.freed = make(chan struct{})
	}
	freed = r.freed
	changed, used := !r.full, r.used
	r.full = true
	r.mu.Unlock()
	if changed && r.OnChange != nil {
		r.OnChange(true, used)
	}
	return false, freed
}

// Give gives bytes back.
func (r *MemoryBudget) Release(bytes int64) {
	if bytes == 0 {
		return
	}
	r.mu.Lock()
	r.used -= bytes
	if r.used < 0 {
		panic("bodies: more was given back than was taken")
	}
	if r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
	changed, used := r.full && float64(r.used) <= calmShare*float64(r.limit), r.used
	if changed {
		r.full = false
	}
	r.mu.Unlock()
	if changed && r.OnChange != nil {
		r.OnChange(false, used)
	}
}
