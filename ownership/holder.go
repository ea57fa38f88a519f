// Package ownership is a library for servers that hold keys exclusively. A Holder accepts fenced
// grants that expire, releases keys on request, and reports for each request whether the server
// holds its key.
//
// See README.md for an example. Routers rely on the rules that the package implements
// (docs/PROTOCOLS.md, workers).
package ownership

import (
	"context"
	"sync"
	"time"
)

// KeyCount is the number of keys of a service: 0 to KeyCount-1.
const KeyCount = 65536

// Keys is a range of keys, including both ends.
type Keys struct {
	From, To int
}

func (k Keys) valid() bool { return k.From >= 0 && k.From <= k.To && k.To < KeyCount }

// Grant is an order to hold keys.
type Grant struct {
	Keys
	// Fence orders the grants of a key: a grant with a lower fence than an earlier one is rejected.
	Fence int64
	// Hold is the duration for which the keys are held.
	Hold time.Duration
}

// Outcome is the result of a grant.
type Outcome string

// Outcomes of grants.
const (
	// Taken means that the keys are held.
	Taken Outcome = "taken"
	// Fenced means that one of the keys has a higher fence. The grant has no effect.
	Fenced Outcome = "fenced"
	// Invalid means that the range of keys or the duration is invalid. The grant has no effect.
	Invalid Outcome = "invalid"
)

// Holder records which keys its server holds. It is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	fences  [KeyCount]int64
	until   [KeyCount]time.Time
	running map[int]int
	// ended is closed and replaced each time that work ends.
	ended chan struct{}
}

// NewHolder returns a holder that holds no keys.
func NewHolder() *Holder {
	return &Holder{running: map[int]int{}, ended: make(chan struct{})}
}

// Grant holds the keys of a grant from now on, or renews their hold, unless a higher fence is known
// for one of them.
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

// Release releases keys and raises their fences to at least fence. No new work begins on the keys,
// and Release returns once the work in progress on them has ended, or with the error of ctx if ctx
// ends first. It does nothing if the range of keys is invalid.
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

// busy reports whether work is in progress on one of the keys, and returns a channel that is closed
// when work ends next.
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

// Holds reports whether a key is held at the time now.
func (h *Holder) Holds(now time.Time, key int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holds(now, key)
}

func (h *Holder) holds(now time.Time, key int) bool {
	return key >= 0 && key < KeyCount && now.Before(h.until[key])
}

// Work is a request in progress on a key.
type Work struct {
	holder *Holder
	key    int
	fence  int64
	once   sync.Once
}

// Begin begins work on a key. It returns false if the key is not held.
func (h *Holder) Begin(now time.Time, key int) (*Work, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holds(now, key) {
		return nil, false
	}
	h.running[key]++
	return &Work{holder: h, key: key, fence: h.fences[key]}, true
}

// StillHeld reports whether the key is held with the fence with which the work began. The server
// must call it before it commits the effect of the work.
func (w *Work) StillHeld(now time.Time) bool {
	w.holder.mu.Lock()
	defer w.holder.mu.Unlock()
	return w.holder.holds(now, w.key) && w.holder.fences[w.key] == w.fence
}

// End ends the work. Further calls have no effect.
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
