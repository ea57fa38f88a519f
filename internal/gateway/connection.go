package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/time/rate"
)

const (
	// dialTimeout bounds the opening of one connection.
	dialTimeout = 500 * time.Millisecond
	// dialsPerSecond and dialBurst bound new connections to one back end: each
	// costs it about a millisecond.
	dialsPerSecond = 50
	dialBurst      = 16
)

// errDialBudget says that too many connections were opened lately.
var errDialBudget = errs.New("the budget of new connections is spent")

// errSealed says that a connection was closed to further writes.
var errSealed = errs.New("connection sealed")

// account tells whether any byte of one try was handed to the network, on
// whatever connections. Once true it stays true.
type account struct {
	begun atomic.Bool
}

// trackedConn enters what is written to it in the account of the try that has
// it. One try at a time has a connection; the next one may get it while the one
// before has not yet looked at how it ended, so the account is the try's own.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	holder *account
	sealed bool
}

// begin gives the connection to a try.
func (c *trackedConn) begin(holder *account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = holder
}

// seal closes the connection if the try still has it. A write that comes later
// fails, so that an account which is empty then is a proof: no byte of the try
// left through this connection and none will.
func (c *trackedConn) seal(holder *account) {
	c.mu.Lock()
	held := c.holder == holder
	c.sealed = c.sealed || held
	c.mu.Unlock()
	if held {
		_ = c.Close()
	}
}

// Write notes that a write began, then writes.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if c.holder != nil {
		c.holder.begun.Store(true)
	}
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
