// Package upstream sends requests to workers. It pools the connections to them, writes requests,
// and reads the matching answers.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/intake"
)

const (
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTime is how long a connection is kept idle if its worker sends no Keep-Alive
	// timeout.
	defaultIdleTime = 4 * time.Second
	// keepAliveShare is the share of the worker's Keep-Alive timeout for which a connection is kept
	// idle, so that the worker does not close it while a request is being sent.
	keepAliveShare = 0.6
	readBufferSize = 4 << 10
)

// conn is a connection to a worker. It carries one request at a time.
type conn struct {
	net.Conn
	// heads bounds the heads of answers that reader reads.
	heads  *intake.HeadReader
	reader *bufio.Reader
	// used is set once a request was answered on the connection.
	used bool
	// carriesHead is set if HEAD requests are sent over the connection, which then carries no others.
	carriesHead bool
	idleUntil   time.Time
	// dialTime is how long it took to open the connection.
	dialTime time.Duration
}

func newConn(opened net.Conn, dialTime time.Duration) *conn {
	heads := intake.NewHeadReader(opened)
	return &conn{Conn: opened, heads: heads, reader: bufio.NewReaderSize(heads, readBufferSize), dialTime: dialTime}
}

// resetMargin is added to the round trip time within which a worker resets a new connection.
const resetMargin = 3 * time.Millisecond

// awaitReset waits for as long as a worker that has no capacity for a new connection takes to reset
// it. It returns false if the connection was reset or the context ended. A request that is not yet
// written then has certainly not run.
//
// Without this wait, requests that must run at most once are written just before the reset and have
// to be answered with 502: 83 of 25,000 within 30 s in a run with a hot key, and none with the
// wait.
func (c *conn) awaitReset(ctx context.Context) bool {
	timer := time.NewTimer(c.dialTime + resetMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
		return hasNoInput(c)
	case <-ctx.Done():
		return false
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the idle connections to one worker. It is safe for concurrent use.
type Pool struct {
	address string
	dial    DialFunc
	mu      sync.Mutex
	idle    []*conn
}

// NewPool returns a pool without connections. If dial is nil, connections are opened directly.
func NewPool(address string, dial DialFunc) *Pool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Pool{address: address, dial: dial}
}

// Dial opens a connection that the caller uses and closes; it does not become part of the pool.
func (p *Pool) Dial(ctx context.Context) (net.Conn, error) { return p.dial(ctx, "tcp", p.address) }

// Address returns the address of the worker.
func (p *Pool) Address() string { return p.address }

// mayCarry reports whether every answer on the connection that is not to the next send of the message
// can be told from the one that is, and be read to its end. A surplus answer to an earlier send of the
// message has the same ID, so that only the connection distinguishes them. Whether an answer has a
// body depends on its request: those to HEAD have none.
func (c *conn) mayCarry(message *Message) bool {
	return !message.wasSentOver(c) && (!c.used || c.carriesHead == message.isHead())
}

// get returns an idle connection that may carry the message, or opens a new one.
func (p *Pool) get(ctx context.Context, message *Message) (c *conn, err error) {
	if c := p.takeIdle(clock.Now(), message); c != nil {
		return c, nil
	}
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := clock.Now()
	opened, err := p.dial(bounded, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConn(opened, clock.Since(began)), nil
}

// takeIdle removes and returns the most recently used idle connection that may carry the message, or
// nil if there is none.
func (p *Pool) takeIdle(now time.Time, message *Message) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for index := len(p.idle) - 1; index >= 0; index-- {
		c := p.idle[index]
		if !c.mayCarry(message) {
			continue
		}
		p.idle = slices.Delete(p.idle, index, index+1)
		if now.Before(c.idleUntil) && hasNoInput(c) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// returnUnused returns a connection on which nothing was sent to the pool.
func (p *Pool) returnUnused(c *conn) {
	if !c.used {
		c.idleUntil = clock.Now().Add(defaultIdleTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// put returns a connection to the pool after an answer.
func (p *Pool) put(c *conn, idleTime time.Duration) {
	c.used = true
	c.idleUntil = clock.Now().Add(idleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// DropIdle closes all idle connections. If one connection to the worker does not respond, the
// others may not either: existing connections may hang permanently, without a reset, while new ones
// work.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		abort(c.Conn)
	}
	p.idle = nil
}

// drop closes a connection with a reset. A request in flight on it is abandoned.
func (p *Pool) drop(c *conn) {
	abort(c.Conn)
}

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// abort closes a connection with a reset, which discards unsent data.
func abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// hasNoInput reports whether nothing was received on an idle connection: neither its end nor bytes
// that belong to no request.
func hasNoInput(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = count <= 0 && errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
