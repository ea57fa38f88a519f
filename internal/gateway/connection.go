package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/time/rate"
)

const (
	// dialTimeout bounds the opening of one connection.
	dialTimeout = 2 * time.Second
	// dialsPerSecond and dialBurst bound new connections to one back end: each
	// costs it about a millisecond.
	dialsPerSecond = 50
	dialBurst      = 16
)

// errDialBudget says that too many connections were opened lately.
var errDialBudget = errs.New("the budget of new connections is spent")

// errSealed says that a connection was closed to further writes.
var errSealed = errs.New("connection sealed")

// trackedConn knows whether any byte of the present request was handed to the
// network. One request at a time uses a connection.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	begun  bool
	sealed bool
}

// begin starts the account of a new request.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
}

// hasBegun reports whether a write of the present request was begun.
func (c *trackedConn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// seal closes the connection and reports whether a write of the present
// request was ever begun. A write that comes later fails, so that false is a
// proof: no byte left and none will.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	begun := c.begun
	c.mu.Unlock()
	_ = c.Close()
	return begun
}

// Write notes that a write began, then writes.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.begun = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// dialer opens tracked connections to one back end within a budget.
type dialer struct {
	dial    DialFunc
	limiter *rate.Limiter
	metrics *Metrics
}

func (d *dialer) open(ctx context.Context, network, address string) (net.Conn, error) {
	if d.limiter.Wait(ctx) != nil {
		return nil, errDialBudget
	}
	d.metrics.Dials.Inc()
	opened, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: opened}, nil
}
