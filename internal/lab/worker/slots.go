package worker

import (
	"context"
	"sync/atomic"
)

// slots runs a bounded number of requests and lets a bounded number wait.
type slots struct {
	free   chan struct{}
	queue  int64
	queued atomic.Int64
	busy   atomic.Int64
}

func newSlots(count, queue int) *slots {
	return &slots{free: make(chan struct{}, count), queue: int64(queue)}
}

// acquire reports whether it got a slot; it did not if the queue is full or ctx
// ended first.
func (s *slots) acquire(ctx context.Context) bool {
	select {
	case s.free <- struct{}{}:
		s.busy.Add(1)
		return true
	default:
	}
	defer s.queued.Add(-1)
	if s.queued.Add(1) > s.queue {
		return false
	}
	select {
	case s.free <- struct{}{}:
		s.busy.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() {
	s.busy.Add(-1)
	<-s.free
}
