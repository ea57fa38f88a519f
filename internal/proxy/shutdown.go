package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// shutdown is the state of a planned stop of the process.
type shutdown struct {
	stopping atomic.Bool
	// limited is canceled by limit once requests must end by limitedTo.
	limited   context.Context
	limit     context.CancelFunc
	limitedTo atomic.Pointer[time.Time]
	// ending is canceled by end once the process is about to exit.
	ending context.Context
	end    context.CancelFunc
}

func newShutdown() shutdown {
	limited, limit := context.WithCancel(context.Background())
	ending, end := context.WithCancel(context.Background())
	return shutdown{limited: limited, limit: limit, ending: ending, end: end}
}

// BeginShutdown makes each further answer close its client connection.
func (p *Proxy) BeginShutdown() { p.stopping.Store(true) }

// LimitRequests makes the proxy refuse each request that is not sent yet and whose deadline is after the time
// at which CancelRequests is going to be called: it could have to be interrupted while its worker runs it.
// Another router takes it.
func (p *Proxy) LimitRequests(end time.Time) {
	p.limitedTo.Store(&end)
	p.limit()
}

// CancelRequests ends the requests in progress because the process is about to exit. A request that
// has not been sent to a worker yet is refused with a Retry-After header, rather than having its
// connection aborted.
func (p *Proxy) CancelRequests() {
	p.limit()
	p.end()
}

// endsInTime reports whether the request, if it is sent now, ends before the process does.
func (c *call) endsInTime() bool {
	if c.proxy.ending.Err() != nil {
		return false
	}
	end := c.proxy.limitedTo.Load()
	return end == nil || !c.deadline.After(*end)
}

// refuseLate refuses the request if it can't end before the process does. It returns false if the request may
// be sent.
func (c *call) refuseLate() bool {
	if c.endsInTime() {
		return false
	}
	if c.sends.mayHaveArrived() == 0 {
		c.declineForwarded()
	}
	c.giveUp(reasonEnding, minRetryAfter)
	return true
}

// limitedBody is a caller's body. Reading it fails once the request can't be sent any more, until it is
// released.
type limitedBody struct {
	io.Reader
	call     *call
	mu       sync.Mutex
	released bool
}

// limitReading returns a reader of the caller's body that is interrupted when the request can't be sent any
// more. It is released before the request is sent.
func (c *call) limitReading(controller *http.ResponseController) *limitedBody {
	body := &limitedBody{Reader: c.request.Body, call: c}
	c.cleanups.add(onCancel(c.proxy.limited, func() {
		body.mu.Lock()
		defer body.mu.Unlock()
		if !body.released && !c.endsInTime() {
			_ = controller.SetReadDeadline(time.Now())
		}
	}))
	return body
}

// onCancel calls a function once a context is canceled, unless stop is called before.
func onCancel(ctx context.Context, function func()) (stop func()) {
	cancel := context.AfterFunc(ctx, function)
	return func() { cancel() }
}

// Read implements io.Reader.
func (b *limitedBody) Read(into []byte) (int, error) {
	if !b.isReleased() && !b.call.endsInTime() {
		return 0, errStopping
	}
	return b.Reader.Read(into)
}

// release ends the limit. No read deadline is set afterwards.
func (b *limitedBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
}

func (b *limitedBody) isReleased() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}
