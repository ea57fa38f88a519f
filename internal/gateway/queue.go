package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// defaultQueue is the most requests that wait where the service sets no limit.
const defaultQueue = 256

// choice is what a look at the table and the back ends gives a request.
type choice struct {
	// found says that to is reserved for the request.
	found bool
	to    target
	// refused ends the request at once.
	refused *refusal
	// waitsFor is the only server that can serve it; empty for a pool, or
	// while nobody owns the slice.
	waitsFor bundle.ServerName
	// why is the reason to give if the wait ends in vain.
	why wire.Reason
}

// chooser looks for a target; it is called with the service locked.
type chooser func(s *service) choice

// waiter is one request in the queue.
type waiter struct {
	choose chooser
	last   choice
	ready  chan choice // holds one
}

// acquire returns a reserved target. It waits in the service's queue until ctx
// ends, and refuses at once when the queue is full or the wait is expected to
// take longer than left (zero: no deadline).
func (s *service) acquire(ctx context.Context, choose chooser, limit int, left time.Duration) (target, *refusal) {
	s.mu.Lock()
	made := choose(s)
	if made.found || made.refused != nil {
		s.mu.Unlock()
		return made.to, made.refused
	}
	if refused := s.mayWait(made, limit, left); refused != nil {
		s.mu.Unlock()
		return target{}, refused
	}
	queued := &waiter{choose: choose, last: made, ready: make(chan choice, 1)}
	s.waiting = append(s.waiting, queued)
	s.metrics.Waiting.Inc()
	s.signal()
	s.mu.Unlock()
	return s.await(ctx, queued)
}

func (s *service) await(ctx context.Context, queued *waiter) (target, *refusal) {
	defer s.metrics.Waiting.Dec()
	select {
	case made := <-queued.ready:
		return made.to, made.refused
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case made := <-queued.ready: // the target came at the same moment
		return made.to, made.refused
	default:
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == queued })
	return target{}, notRun(queued.last.why)
}

// mayWait bounds the queue, and refuses a request that would wait in vain.
func (s *service) mayWait(made choice, limit int, left time.Duration) *refusal {
	if limit == 0 {
		limit = defaultQueue
	}
	if len(s.waiting) >= limit {
		return notRun(wire.ReasonQueueFull)
	}
	if left > 0 && s.expectedWait(made) > left {
		return notRun(wire.ReasonDeadline)
	}
	return nil
}

// expectedWait estimates the time until the request gets a slot: those that
// wait for the same back ends go first. Zero if nothing is known.
func (s *service) expectedWait(made choice) time.Duration {
	if made.why != wire.ReasonOverloaded {
		return 0
	}
	position := 1
	for _, other := range s.waiting {
		if other.last.waitsFor == made.waitsFor {
			position++
		}
	}
	return s.occupancy.Wait(position, s.pool.Capacity(made.waitsFor))
}

// dispatch lets each waiting request look again, the longest waiting first.
// The service is locked.
func (s *service) dispatch() {
	s.waiting = slices.DeleteFunc(s.waiting, func(queued *waiter) bool {
		queued.last = queued.choose(s)
		if !queued.last.found && queued.last.refused == nil {
			return false
		}
		queued.ready <- queued.last
		return true
	})
}

// tick looks again for requests whose wait can end by the passing of time.
func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		s.dispatch()
	}
}
