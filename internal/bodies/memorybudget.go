// Package bodies buffers and transfers the bodies of requests and answers in flight. It bounds
// their memory, ends transfers that make too little progress, and shares the bandwidth of the
// machine's link between them.
package bodies

import (
	"context"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// MaxSmall is the maximum length in bytes of a small body. Small bodies are still accepted when
// large ones are refused. Forms and records, which callers send all the time, fit into it.
const MaxSmall = 16 << 10

const (
	// largeShare is the share of a budget that large bodies may use; the rest is for small ones.
	largeShare = 0.875
	// recoveryShare is the share to which use must fall before an exhausted budget is reported as
	// available again, so that one that stays nearly exhausted is reported once.
	recoveryShare = 0.5
)

// MemoryBudget counts and limits the memory of bodies in flight. It is safe for concurrent use.
type MemoryBudget struct {
	// OnChange is called when there is no memory for a large body, and when memory is available
	// again. It may be nil.
	OnChange func(full bool, used int64)

	mu    sync.Mutex
	limit int64
	used  int64
	full  bool
	// freed is closed once memory is released; nil while no reservation waits for it.
	freed chan struct{}
}

// NewMemoryBudget returns a budget of limit bytes; zero means no limit.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Used returns the number of reserved bytes.
func (b *MemoryBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the budget in bytes; zero means no limit.
func (b *MemoryBudget) Limit() int64 { return b.limit }

// Reserve reserves bytes for a part of a large body. It returns false if there is not enough
// memory.
func (b *MemoryBudget) Reserve(bytes int64) bool {
	reserved, _ := b.reserve(bytes)
	return reserved
}

// ReserveSmall reserves bytes for a small body, which may use the whole budget. It returns false if
// there is not enough memory.
func (b *MemoryBudget) ReserveSmall(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

// ReserveWithin reserves bytes for a large body, and waits for them up to the timeout. It returns
// false if the timeout passed or the context ended first.
func (b *MemoryBudget) ReserveWithin(ctx context.Context, bytes int64, timeout time.Duration) bool {
	deadline := clock.Now().Add(timeout)
	for {
		reserved, freed := b.reserve(bytes)
		if reserved {
			return true
		}
		timer := time.NewTimer(clock.Until(deadline))
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

// reserve reserves bytes for a large body, or returns a channel that is closed once memory is
// released.
func (b *MemoryBudget) reserve(bytes int64) (reserved bool, freed <-chan struct{}) {
	b.mu.Lock()
	if b.limit == 0 || float64(b.used+bytes) <= largeShare*float64(b.limit) {
		b.used += bytes
		b.mu.Unlock()
		return true, nil
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	freed = b.freed
	changed, used := !b.full, b.used
	b.full = true
	b.mu.Unlock()
	if changed && b.OnChange != nil {
		b.OnChange(true, used)
	}
	return false, freed
}

// Release returns reserved bytes to the budget.
func (b *MemoryBudget) Release(bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	b.used -= bytes
	if b.used < 0 {
		panic("bodies: more memory was released than was reserved")
	}
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
	changed, used := b.full && float64(b.used) <= recoveryShare*float64(b.limit), b.used
	if changed {
		b.full = false
	}
	b.mu.Unlock()
	if changed && b.OnChange != nil {
		b.OnChange(false, used)
	}
}
