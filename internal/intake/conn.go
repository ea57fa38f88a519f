package intake

import (
	"cmp"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Conn is a connection of a gate. What is read from it counts as a message that is not complete until
// BeginHandling, and as held until EndHandling. A nil Conn has no limits.
type Conn struct {
	net.Conn
	gate *Gate

	mu sync.Mutex
	// held is the number of bytes of the message that is incomplete or being handled.
	held int64
	// handling is set while a message is handled, and proven once one was.
	handling, proven bool
	// since is when the connection was opened, or when the last message was handled.
	since  time.Time
	closed bool
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 && c.hold(headBytes(into[:count])) {
		c.gate.relieve()
	}
	return count, err
}

// hold counts bytes of an incomplete message. It returns true if all connections hold too many.
func (c *Conn) hold(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling || c.closed {
		return false
	}
	c.held += bytes
	return c.gate.held.Add(bytes) > c.gate.limits.Bytes
}

// BeginHandling reports that a message is complete and is being handled. What is read meanwhile is not
// counted.
func (c *Conn) BeginHandling() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.proven = true, true
}

// EndHandling reports that a message was handled, and is no longer held.
func (c *Conn) EndHandling() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.proven, c.since = false, true, clock.Now()
	c.release()
}

// release counts the connection's message as no longer held. The caller holds mu.
func (c *Conn) release() {
	c.gate.held.Add(-c.held)
	c.held = 0
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.release()
	c.mu.Unlock()
	c.gate.remove(c)
	return c.Conn.Close()
}

// refuse closes the connection unless a message is being handled. It reports whether it did.
func (c *Conn) refuse() bool {
	c.mu.Lock()
	refused := !c.handling && !c.closed
	c.closed = c.closed || refused
	c.mu.Unlock()
	if refused {
		_ = c.Close()
	}
	return refused
}

// isClosed reports whether the connection was closed.
func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// unfinished returns the size of the message that is incomplete.
func (c *Conn) unfinished() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling {
		return 0
	}
	return c.held
}

// usefulness ranks connections; the least is closed first.
type usefulness struct {
	tier  int
	since time.Time
}

func (u usefulness) compare(other usefulness) int {
	if order := cmp.Compare(u.tier, other.tier); order != 0 {
		return order
	}
	return u.since.Compare(other.since)
}

// usefulness returns the connection's rank. It returns false if a message is being handled, or if the
// connection is closed already.
func (c *Conn) usefulness(now time.Time) (rank usefulness, mayClose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tier := 0
	switch {
	case c.proven:
		tier = 1
	case now.Sub(c.since) < settleTime:
		tier = 2
	}
	return usefulness{tier: tier, since: c.since}, !c.handling && !c.closed
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what happens to unsent data when the connection is closed, like net.TCPConn.SetLinger.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
