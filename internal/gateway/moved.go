package gateway

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// moveGrace is how long an answer of a former owner may still be on its way
// once the table names another.
const moveGrace = 50 * time.Millisecond

// errMoved is the cause of a try that ended since its slice has a new owner.
var errMoved = errs.New("the slice has a new owner")

// running is one try that waits for its owner's answer.
type running struct {
	call   *call
	to     target
	cancel context.CancelCauseFunc
	// moved says that a cancellation is under way.
	moved bool
}

// begin notes a try of a keyed request, so that it ends soon after its slice
// has moved: the former owner's grant is over then, and if it is frozen its
// answer may never come. The function returned ends the note.
func (s *service) begin(ctx context.Context, c *call, to target) (context.Context, func()) {
	if c.key == "" {
		return ctx, func() {}
	}
	trying, cancel := context.WithCancelCause(ctx)
	noted := &running{call: c, to: to, cancel: cancel}
	s.mu.Lock()
	s.running[noted] = struct{}{}
	s.mu.Unlock()
	return trying, func() { s.end(noted) }
}

func (s *service) end(noted *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, noted)
}

// cancelMoved ends, after a grace, the tries whose slice has another owner now.
// The service is locked.
func (s *service) cancelMoved(held *view) {
	for noted := range s.running {
		c := noted.call
		now, ok := held.owner(c.route.name, c.partition, c.hash)
		if ok && !noted.moved && now.server.Name != noted.to.server.Name {
			noted.moved = true
			time.AfterFunc(moveGrace, func() { s.cancelRunning(noted) })
		}
	}
}

// cancelRunning ends a try unless its answer has begun meanwhile: an answer that
// has begun is passed on whole.
func (s *service) cancelRunning(noted *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.running[noted]; waits {
		noted.cancel(errMoved)
	}
}
