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

// PermitRequest asks the leader whether a request may leave for a worker that names a limit.
type PermitRequest struct {
	// Number names the question on its connection.
	Number uint64 `json:"n"`
	// Limit is what the process that asks knows of the worker's limit.
	Limit workerlimit.Told `json:"l"`
	// PatienceMillis is for how long the request may wait.
	MaxWaitMillis int64 `json:"p,omitempty"`
}

// Permit is the leader's answer.
type Permit struct {
	Number uint64 `json:"n"`
	// Granted says that the request may leave after WaitMillis. Else that is when to ask again.
	Granted    bool  `json:"g,omitempty"`
	WaitMillis int64 `json:"w,omitempty"`
	// Ended is told if the worker names no limit any longer.
	LimitEnded *workerlimit.Told `json:"e,omitempty"`
}

// Wait is how long the request waits, or is kept from asking again.
func (p Permit) Wait() time.Duration { return time.Duration(p.WaitMillis) * time.Millisecond }

// OnPermit sets what answers other processes that ask for permits while this one leads; false: it
// does not lead.
func (h *Hub) OnPermit(call func(PermitRequest) (Permit, bool)) { h.answerPermit = call }

// servePermits answers one process until it is silent for long, or this one leads no longer.
func (h *Hub) servePermits(conn net.Conn, reader *bufio.Reader) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(reportSilence))
		var request PermitRequest
		if readLine(reader, &request) != nil {
			return
		}
		permit, leading := h.answerPermit(request)
		if !leading || writeLine(conn, permit) != nil {
			return
		}
	}
}

// Followed returns the address of the leader that this process follows; empty: none.
func (h *Hub) FollowedLeader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.followedLeader
}

// ErrNoPermit: the leader did not answer in time.
var ErrNoPermit = errs.New("no answer from the leader")

// PermitClient asks the leader for permits, over one connection that is opened when the first is
// asked for. It is safe for concurrent use.
type PermitClient struct {
	// Node and Zone are those of this process.
	Node, Zone string

	mu      sync.Mutex
	current *permitConn
}

// Ask asks the leader at an address, until ctx ends.
func (l *PermitClient) Request(ctx context.Context, address string, request PermitRequest) (Permit, error) {
	conn := l.connect(address)
	start := clock.Now()
	permit, err := conn.request(ctx, request)
	if err != nil && !conn.answeredSince(start) { // it may be silent for good
		conn.close()
	}
	return permit, err
}

// connect returns the connection to an address, or begins to open one.
func (l *PermitClient) connect(address string) *permitConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && l.current.address == address && !l.current.isClosed() {
		return l.current
	}
	if l.current != nil {
		l.current.close()
	}
	l.current = &permitConn{
		address: address, hello: Hello{Node: l.Node, Zone: l.Zone, QueryOnly: true, Permits: true}, opened: make(chan struct{}), closed: make(chan struct{}), pending: map[uint64]chan Permit{},
	}
	go l.current.run()
	return l.current
}

// permitConn is one connection to a leader.
type permitConn struct {
	address string
	hello   Hello
	// opened is closed once conn is there, and closed once it is not to be used any longer.
	opened, closed chan struct{}
	closeOnce      sync.Once
	// heard is when the leader last answered, a number of clock.Nanos.
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

// run opens the connection and takes answers until it is closed.
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

// answered hands an answer to who asked.
func (c *permitConn) deliver(permit Permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiter := c.pending[permit.Number]; waiter != nil {
		waiter <- permit
		delete(c.pending, permit.Number)
	}
}

// ask sends a question and waits for its answer.
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

// send writes a question whose answer goes to a channel.
func (c *permitConn) send(request PermitRequest, answer chan Permit) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	request.Number = c.lastNumber
	c.pending[request.Number] = answer
	return request.Number, writeLine(c.conn, request)
}
