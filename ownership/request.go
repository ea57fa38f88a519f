package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// Slice is a range of the hashes of one partition of a service: the unit of
// ownership. Both ends belong to it.
type Slice struct {
	// Service is "team/service".
	Service   string
	Partition string
	// First and Last are hashes of keys.
	First uint64
	Last  uint64
}

// Request is one admitted request, as the gateway named it.
type Request struct {
	// ID is the gateway's id of the request.
	ID string
	// Key is empty for a service without keys.
	Key   string
	Slice Slice
	// Fence orders the owners of a slice: a later owner has a higher one. A
	// store that outlives this process can use it to refuse older owners.
	Fence uint64
	// Bundle is the version of the team's bundle.
	Bundle uint64
	// IdempotencyKey is the caller's own name of the request, often empty.
	IdempotencyKey string
	// Deadline is zero if there is none.
	Deadline time.Time

	owner  *Owner
	ticket lease.Ticket
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
	writer *responseWriter
	// checked says that Check has allowed the effect. Guarded by owner.mu.
	checked bool
}

type contextKey struct{}

// FromContext returns the admitted request of a handler's context, and false
// outside a handler that Owner.Wrap called.
func FromContext(ctx context.Context) (*Request, bool) {
	request, found := ctx.Value(contextKey{}).(*Request)
	return request, found
}

// Check says whether the effect of the request may still be kept: nil if so,
// otherwise a *LostError. Call it at the point of effect, after everything that
// can wait, and keep the effect at once.
func (r *Request) Check() error {
	if reason := contextReason(r.ctx); reason != "" {
		return &LostError{Reason: reason}
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	reason := r.owner.holder.Check(r.owner.now(), r.ticket)
	if reason != "" {
		return &LostError{Reason: Reason(reason)}
	}
	r.checked = true
	return nil
}

// ErrTooLate says that NotRun was called after the answer had begun or after
// Check had allowed the effect.
var ErrTooLate = errors.New("ownership: it can no longer be said that the request did not run")

// NotRun answers that the request had no effect, so that the gateway may send
// it again elsewhere. The handler must have kept nothing. It returns ErrTooLate
// once that can't be said.
func (r *Request) NotRun(reason Reason) error {
	if r.writer.wroteHeader || r.effectAllowed() {
		return ErrTooLate
	}
	r.owner.options.Metrics.Refused.WithLabelValues(string(reason)).Inc()
	r.writer.refuse(wire.OutcomeNotRun, reason)
	return nil
}

func (r *Request) effectAllowed() bool {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return r.checked
}

// lost returns the reason for which the request may keep no effect now.
func (r *Request) lost() Reason {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return Reason(r.owner.holder.Check(r.owner.now(), r.ticket))
}

// contextReason tells why a request's context has ended; empty if it has not.
func contextReason(ctx context.Context) Reason {
	if ctx.Err() == nil {
		return ""
	}
	var lost *LostError
	if errors.As(context.Cause(ctx), &lost) {
		return lost.Reason
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}
