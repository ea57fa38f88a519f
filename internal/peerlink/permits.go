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
	Limit workerlimit.Message `json:"l"`
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
	LimitEnded *workerlimit.Message `json:"e,omitempty"`
}

// Wait is how long the request waits, or is kept from asking again.
func (p Permit) Wait() time.Duration { return time.Duration(p.WaitMillis) * time.Millisecond }

// OnPermit sets what answers other processes that ask for permits while this one leads; false: it
// does not lead.
func (h *Hub) OnPermit(call func(PermitRequest) (Permit, bool)) { h.permit = call }

// servePermits answers one process until it is silent for long, or this one leads no longer.
func (h *Hub) servePermits(conn net.Conn, reader *bufio.Reader) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(reportSilence))
		var ask PermitRequest
		if readLine(reader, &ask) != nil {
			return
		}
		permit, leading := h.permit(ask)
		if !leading || writeLine(conn, permit) != nil {
			return
		}
	}
}

// Followed returns the address of the leader that this process follows; empty: none.
func (h *Hub) FollowedLeader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.followed
}

// ErrNoPermit: the leader did not answer in time.
var ErrNoPermit = errs.New("no answer from the leader")

// PermitClient asks the leader for permits, over one connection that is opened when the first is
// asked for. It is safe for concurrent use.
type PermitClient struct {
	// Node and Zone are those of this process.
	Node, Zone string

	mu   sync.Mutex
	open *permitConn
}

// Ask asks the leader at an address, until ctx ends.
func (l *PermitClient) Request(ctx context.Context, address string, ask PermitRequest) (Permit, error) {
	conn := l.connect(address)
	asked := clock.Now()
	permit, err := conn.ask(ctx, ask)
	if err != nil && !conn.heardSince(asked) { // it may be silent for good
		conn.close()
	}
	return permit, err
}

// connect returns the connection to an address, or begins to open one.
func (l *PermitClient) connect(address string) *permitConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open != nil && l.open.address == address && !l.open.isClosed() {
		return l.open
	}
	if l.open != nil {
		l.open.close()
	}
	l.open = &permitConn{
		address: address, hello: Hello{Node: l.Node, Zone: l.Zone, QueryOnly: true, Permits: true}, opened: make(chan struct{}), closed: make(chan struct{}), waiting: map[uint64]chan Permit{},
	}
	go l.open.run()
	return l.open
}

// permitConn is one connection to a leader.
type permitConn struct {
	address string
	hello   Hello
	// opened is closed once conn is there, and closed once it is not to be used any longer.
	opened, closed chan struct{}
	closeOnce      sync.Once
	// heard is when the leader last answered, a number of clock.Nanos.
	heard atomic.Int64

	mu      sync.Mutex
	conn    net.Conn
	next    uint64
	waiting map[uint64]chan Permit
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

func (c *permitConn) heardSince(at time.Time) bool { return c.heard.Load() >= clock.Nanos(at) }

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
		c.heard.Store(clock.Nanos(clock.Now()))
		c.answered(permit)
	}
}

// answered hands an answer to who asked.
func (c *permitConn) answered(permit Permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked := c.waiting[permit.Number]; asked != nil {
		asked <- permit
		delete(c.waiting, permit.Number)
	}
}

// ask sends a question and waits for its answer.
func (c *permitConn) ask(ctx context.Context, ask PermitRequest) (Permit, error) {
	select {
	case <-c.opened:
	case <-c.closed:
		return Permit{}, ErrNoPermit
	case <-ctx.Done():
		return Permit{}, ErrNoPermit
	}
	answer := make(chan Permit, 1)
	number, err := c.send(ask, answer)
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
	delete(c.waiting, number)
	return Permit{}, ErrNoPermit
}

// send writes a question whose answer goes to a channel.
func (c *permitConn) send(ask PermitRequest, answer chan Permit) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	ask.Number = c.next
	c.waiting[ask.Number] = answer
	return ask.Number, writeLine(c.conn, ask)
}
