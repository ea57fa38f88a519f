// Package ownership is what a server embeds that holds keys exclusively: it takes
// fenced grants for a time, gives keys back when it is told to, and says for each
// request whether the server holds its key.
//
// See README.md for its use. The rules are those that the routers count on
// (docs/PROTOCOLS.md, workers).
package ownership

import (
	"context"
	"sync"
	"time"
)

// KeyCount is the number of keys of a service: 0 to KeyCount-1.
const KeyCount = 65536

// Keys is a run of keys, both ends inside.
type Keys struct {
	From, To int
}

func (k Keys) valid() bool { return k.From >= 0 && k.From <= k.To && k.To < KeyCount }

// Grant is an order to take keys.
type Grant struct {
	Keys
	// Fence orders the grants of a key.
	Fence int64
	// Hold is for how long the keys are held.
	Hold time.Duration
}

// Outcome says what a grant did.
type Outcome string

// Outcomes of grants.
const (
	// Taken: the keys are held.
	Taken Outcome = "taken"
	// Fenced: a higher fence was seen on one of the keys; nothing has changed.
	Fenced Outcome = "fenced"
	// Invalid: the order makes no sense; nothing has changed.
	Invalid Outcome = "invalid"
)

// Holder knows which keys its server holds. It is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	fences  [KeyCount]int64
	until   [KeyCount]time.Time
	running map[int]int
	// ended is closed and replaced whenever work ends.
	ended chan struct{}
}

// NewHolder returns a holder that holds nothing.
func NewHolder() *Holder {
	return &Holder{running: map[int]int{}, ended: make(chan struct{})}
}

// Grant takes keys from now on, or renews them.
func (h *Holder) Grant(now time.Time, grant Grant) Outcome {
	if !grant.valid() || grant.Hold <= 0 {
		return Invalid
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := grant.From; key <= grant.To; key++ {
		if h.fences[key] > grant.Fence {
			return Fenced
		}
	}
	for key := grant.From; key <= grant.To; key++ {
		h.fences[key], h.until[key] = grant.Fence, now.Add(grant.Hold)
	}
	return Taken
}

// Release gives keys back: no new work begins on them, and it returns once the work
// that runs on them has ended, or with the error of ctx. Keys out of range are
// passed over.
func (h *Holder) Release(ctx context.Context, keys Keys, fence int64) error {
	if !keys.valid() {
		return nil
	}
	h.mu.Lock()
	for key := keys.From; key <= keys.To; key++ {
		h.fences[key], h.until[key] = max(h.fences[key], fence), time.Time{}
	}
	h.mu.Unlock()
	for {
		busy, ended := h.busy(keys)
		if !busy {
			return nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *Holder) busy(keys Keys) (busy bool, ended <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.running {
		if keys.From <= key && key <= keys.To {
			return true, h.ended
		}
	}
	return false, h.ended
}

// Holds reports whether a key is held.
func (h *Holder) Holds(now time.Time, key int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holds(now, key)
}

func (h *Holder) holds(now time.Time, key int) bool {
	return key >= 0 && key < KeyCount && now.Before(h.until[key])
}

// Work is one request that runs on a key.
type Work struct {
	holder *Holder
	key    int
	fence  int64
	once   sync.Once
}

// Begin begins work on a key; false if the key is not held.
func (h *Holder) Begin(now time.Time, key int) (*Work, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holds(now, key) {
		return nil, false
	}
	h.running[key]++
	return &Work{holder: h, key: key, fence: h.fences[key]}, true
}

// StillHeld reports whether the key is held under the fence that the work began
// with. Ask before its effect is kept.
func (w *Work) StillHeld(now time.Time) bool {
	w.holder.mu.Lock()
	defer w.holder.mu.Unlock()
	return w.holder.holds(now, w.key) && w.holder.fences[w.key] == w.fence
}

// End ends the work. Later calls do nothing.
func (w *Work) End() {
	w.once.Do(func() {
		h := w.holder
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.running[w.key]--; h.running[w.key] == 0 {
			delete(h.running, w.key)
		}
		close(h.ended)
		h.ended = make(chan struct{})
	})
}
