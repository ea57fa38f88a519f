package ownership

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// routing is what the headers of a request say about it.
type routing struct {
	cell           bundle.CellName
	slice          keyspace.Slice
	fence          wire.Fence
	bundle         bundle.Version
	id             string
	key            string
	idempotencyKey string
	// left until the deadline; hasDeadline is false if there is none.
	left        time.Duration
	hasDeadline bool
}

// parseRouting returns false if a header is missing or does not fit the rest.
func parseRouting(header http.Header) (routing, bool) {
	slice, err := keyspace.ParseSlice(header.Get(wire.HeaderSlice))
	if err != nil {
		return routing{}, false
	}
	fence, fenceErr := strconv.ParseUint(header.Get(wire.HeaderFence), 10, 64)
	version, versionErr := strconv.ParseUint(header.Get(wire.HeaderBundle), 10, 64)
	if fenceErr != nil || versionErr != nil {
		return routing{}, false
	}
	parsed := routing{
		cell:           bundle.CellName(header.Get(wire.HeaderCell)),
		slice:          slice,
		fence:          wire.Fence(fence),
		bundle:         bundle.Version(version),
		id:             header.Get(wire.HeaderRequestID),
		key:            header.Get(wire.HeaderKey),
		idempotencyKey: header.Get(wire.HeaderIdempotencyKey),
	}
	return parsed, parsed.consistent(header) && parsed.parseDeadline(header)
}

// consistent checks that the key lies in the slice, so that a gateway which
// hashes differently is refused instead of served from the wrong owner.
func (r *routing) consistent(header http.Header) bool {
	if r.id == "" || r.cell == "" {
		return false
	}
	if header.Get(wire.HeaderService) != string(r.slice.Service) {
		return false
	}
	return r.key == "" || r.slice.Range.Contains(keyspace.HashKey(r.key))
}

func (r *routing) parseDeadline(header http.Header) bool {
	text := header.Get(wire.HeaderDeadline)
	if text == "" {
		return true
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds > maxDeadline.Milliseconds() {
		return false
	}
	r.left = time.Duration(milliseconds) * time.Millisecond
	r.hasDeadline = true
	return true
}

// maxDeadline keeps the arithmetic of deadlines far from overflow.
const maxDeadline = 365 * 24 * time.Hour

// admit starts a request, or returns why it does not run.
func (o *Owner) admit(ctx context.Context, routing routing) (*Request, Reason) {
	if routing.hasDeadline && routing.left <= 0 {
		return nil, ReasonDeadline
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	ticket, reason := o.holder.Admit(now, routing.cell, routing.slice, routing.fence, routing.bundle)
	if reason != "" {
		return nil, o.refusal(Reason(reason))
	}
	request := newRequest(ctx, routing)
	request.owner = o
	request.ticket = ticket
	o.running[ticket.ID] = request
	o.load.record(now.Upper, routing.slice, routing.key)
	return request, ""
}

// refusal names the cause that helps most: a server that is stopping and holds
// nothing more says so.
func (o *Owner) refusal(reason Reason) Reason {
	if o.draining && reason != ReasonWrongBundle {
		return ReasonDraining
	}
	return reason
}

func newRequest(ctx context.Context, routing routing) *Request {
	request := &Request{
		ID:             routing.id,
		Key:            routing.key,
		Slice:          publicSlice(routing.slice),
		Fence:          uint64(routing.fence),
		Bundle:         uint64(routing.bundle),
		IdempotencyKey: routing.idempotencyKey,
	}
	ctx = context.WithValue(ctx, contextKey{}, request)
	request.ctx, request.cancel = context.WithCancelCause(ctx)
	request.stop = func() { request.cancel(nil) }
	if routing.hasDeadline {
		request.Deadline = time.Now().Add(routing.left)
		request.ctx, request.stop = context.WithDeadline(request.ctx, request.Deadline)
	}
	return request
}

func publicSlice(slice keyspace.Slice) Slice {
	return Slice{
		Service:   string(slice.Service),
		Partition: string(slice.Partition),
		First:     uint64(slice.Range.First),
		Last:      uint64(slice.Range.Last),
	}
}

// finish ends a request that was admitted.
func (o *Owner) finish(request *Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holder.Finish(request.ticket)
	delete(o.running, request.ticket.ID)
	o.wake()
}
