package peerlink

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/workerlimit"
)

// PermitRequest asks the leader whether a request may be sent to a worker that has announced a
// limit.
type PermitRequest struct {
	// Number identifies the request on its connection.
	Number uint64 `json:"n"`
	// Limit is what the sender knows of the worker's limit.
	Limit workerlimit.Message `json:"l"`
	// MaxWaitMillis is the longest time that the request may wait.
	MaxWaitMillis int64 `json:"p,omitempty"`
}

// Permit is the leader's answer.
type Permit struct {
	Number uint64 `json:"n"`
	// Granted is set if the request may be sent after WaitMillis. Otherwise, WaitMillis is when to
	// ask again.
	Granted    bool  `json:"g,omitempty"`
	WaitMillis int64 `json:"w,omitempty"`
	// LimitEnded is set if the worker no longer announces a limit.
	LimitEnded *workerlimit.Message `json:"e,omitempty"`
}

// Wait returns how long the request waits, or how long the sender must not ask again.
func (p Permit) Wait() time.Duration { return time.Duration(p.WaitMillis) * time.Millisecond }

// OnPermit sets the function that answers permit requests of other processes while this process
// leads. It returns false if this process does not lead.
func (h *Hub) OnPermit(call func(PermitRequest) (Permit, bool)) { h.answerPermit = call }

// servePermits answers the permit requests of one process until that process is silent for
// reportSilence or this process no longer leads.
func (h *Hub) servePermits(conn net.Conn, lines *lineReader) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(reportSilence))
		var request PermitRequest
		if lines.read(&request) != nil {
			return
		}
		permit, leading := h.answerPermit(request)
		if !leading || writeLine(conn, permit) != nil {
			return
		}
	}
}

// FollowedLeader returns the address of the leader that this process follows, or empty if there is
// none.
func (h *Hub) FollowedLeader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.followedLeader
}

// ErrNoPermit is returned if the context or the connection ended before the leader answered.
var ErrNoPermit = errs.New("no answer from the leader")

// PermitClient requests permits from the leader over one connection, which is opened by the first
// request. It is safe for concurrent use.
type PermitClient struct {
	// Node and Zone are those of this process.
	Node, Zone string

	mu      sync.Mutex
	current *permitConn
}

// Request sends a request to the leader at an address and waits for the answer until ctx ends.
func (c *PermitClient) Request(ctx context.Context, address string, request PermitRequest) (Permit, error) {
	conn := c.connect(address)
	start := clock.Now()
	permit, err := conn.request(ctx, request)
	if err != nil && !conn.answeredSince(start) { // the connection may be broken without an error
		conn.close()
	}
	return permit, err
}

// connect returns the connection to an address, or starts to open one.
func (c *PermitClient) connect(address string) *permitConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.address == address && !c.current.isClosed() {
		return c.current
	}
	if c.current != nil {
		c.current.close()
	}
	c.current = &permitConn{
		address: address, hello: Hello{Node: c.Node, Zone: c.Zone, QueryOnly: true, Permits: true}, opened: make(chan struct{}), closed: make(chan struct{}), pending: map[uint64]chan Permit{},
	}
	go c.current.run()
	return c.current
}

// permitConn is a connection to a leader.
type permitConn struct {
	address string
	hello   Hello
	// opened is closed once conn is set, and closed is closed once the connection must no longer be
	// used.
	opened, closed chan struct{}
	closeOnce      sync.Once
	// lastAnswer is when the leader last answered, as returned by clock.Nanos.
	lastAnswer atomic.Int64

	mu         sync.Mutex
	conn       net.Conn
	lastNumber uint64
	pending    map[uint64]chan Permit
}

func (c *permitConn) close() { c.closeOnce.Do(func() { close(c.closed) }) }

func (c *permitConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *permitConn) answeredSince(at time.Time) bool { return c.lastAnswer.Load() >= clock.Nanos(at) }

// run opens the connection and receives answers until it is closed.
func (c *permitConn) run() {
	defer c.close()
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if writeLine(conn, c.hello) != nil {
		return
	}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	close(c.opened)
	go func() {
		<-c.closed
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		var permit Permit
		if readLine(reader, &permit) != nil {
			return
		}
		c.lastAnswer.Store(clock.Nanos(clock.Now()))
		c.deliver(permit)
	}
}

// deliver passes an answer to the caller that waits for it.
func (c *permitConn) deliver(permit Permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiter := c.pending[permit.Number]; waiter != nil {
		waiter <- permit
		delete(c.pending, permit.Number)
	}
}

// request sends a request and waits for its answer.
func (c *permitConn) request(ctx context.Context, request PermitRequest) (Permit, error) {
	select {
	case <-c.opened:
	case <-c.closed:
		return Permit{}, ErrNoPermit
	case <-ctx.Done():
		return Permit{}, ErrNoPermit
	}
	answer := make(chan Permit, 1)
	number, err := c.send(request, answer)
	if err != nil {
		c.close()
		return Permit{}, Error.Wrap(err)
	}
	select {
	case permit := <-answer:
		return permit, nil
	case <-c.closed:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
	return Permit{}, ErrNoPermit
}

// send writes a request whose answer is delivered to a channel.
func (c *permitConn) send(request PermitRequest, answer chan Permit) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	request.Number = c.lastNumber
	c.pending[request.Number] = answer
	return request.Number, writeLine(c.conn, request)
}
