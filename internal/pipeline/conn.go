package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// maxUnread is how many bytes of requests that can't run yet are buffered per connection.
	// Reading pauses if the client sends more.
	maxUnread = 16 << 10
	// initialUnread is the initial size of that buffer, which is allocated once data arrives.
	initialUnread = 2 << 10
	// lingerTime is how long a connection stays open for the client to read the last response after
	// it was closed for writing.
	lingerTime = 500 * time.Millisecond
)

// conn is a client's connection. net/http reads requests from it and writes their responses, one
// after the other. conn splits off the requests that arrive while an earlier one is not answered
// yet.
type conn struct {
	net.Conn
	splitter *Splitter
	// done is closed once the connection is closed.
	done chan struct{}
	// wakeup resumes a reader that waits for space in unread.
	wakeup chan struct{}

	mu sync.Mutex
	// unread contains the received bytes of requests that can't run yet.
	unread []byte
	// serverBusy is set while net/http reads or serves a request, which current tracks.
	serverBusy bool
	current    requestTracker
	// currentConcurrent is set once net/http serves a request beside which others may run.
	currentConcurrent bool
	// queue contains the responses to the pipelined requests behind it, in the order of the
	// requests.
	queue []*response
	// closing is set once a response that closes the connection has begun. Requests behind it are
	// not run.
	closing bool
	// closeAfterQueue is set if the connection must be closed once the queue is empty.
	closeAfterQueue bool
	// lingering is set once the connection is closed for writing.
	lingering bool
	closed    bool
	// deadline is net/http's read deadline. interrupted is set if a read was ended before it by
	// interruptRead.
	deadline    time.Time
	interrupted bool
	// readErr is the error with which reading has ended.
	readErr error
}

func newConn(accepted net.Conn, splitter *Splitter) *conn {
	return &conn{Conn: accepted, splitter: splitter, done: make(chan struct{}), wakeup: make(chan struct{}, 1)}
}

// Read implements net.Conn. net/http also reads while it serves a request, to detect that the
// client disconnects. Data that arrives then belongs to pipelined requests.
func (c *conn) Read(into []byte) (int, error) {
	for {
		count, next, err := c.nextAction(into)
		switch {
		case count > 0 || err != nil:
			return count, err
		case next == readForServer:
			if count, err := c.readForServer(into); count > 0 || err != nil {
				return count, err
			}
		case next == readPipelined:
			c.readPipelined()
		case next == waitForSpace:
			<-c.wakeup
		}
	}
}

// readAction is what Read does if no data for net/http is buffered.
type readAction int

const (
	// readForServer reads data of net/http's current or next request.
	readForServer readAction = iota
	// readPipelined reads data of the requests behind it.
	readPipelined
	// waitForSpace waits until a request of the queue is answered.
	waitForSpace
)

// nextAction copies buffered data for net/http and returns its length. If there is none, it returns
// the action to take.
func (c *conn) nextAction(into []byte) (int, readAction, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closeAfterQueue {
		return 0, 0, net.ErrClosed
	}
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	busy := c.serverBusy || len(c.queue) > 0
	if busy && c.mayRunMore() {
		for c.startNext() {
		}
	}
	forServer := !busy || c.serverBusy && !c.current.complete()
	switch {
	case forServer && len(c.unread) > 0:
		return c.deliverUnread(into), 0, nil
	case c.readErr != nil:
		return 0, 0, c.readErr
	case forServer:
		return 0, readForServer, nil
	case len(c.unread) >= maxUnread, len(c.unread) > 0 && c.splitter.unreadFull():
		return 0, waitForSpace, nil
	}
	return 0, readPipelined, nil
}

// mayRunMore reports whether requests may run beside that of net/http, which it must have read
// completely, or net/http has none. The caller holds mu.
func (c *conn) mayRunMore() bool {
	return !c.serverBusy || c.current.complete() && c.currentConcurrent
}

// serverBegins is called when net/http begins to serve a request. concurrent says whether others may
// run beside it.
func (c *conn) serverBegins(concurrent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentConcurrent = concurrent
	if concurrent && len(c.unread) > 0 {
		c.interruptRead() // what it has read may be run now
	}
}

// deliverUnread passes buffered data to net/http. The caller holds mu.
func (c *conn) deliverUnread(into []byte) int {
	count := c.consumeCurrent(c.unread[:min(len(into), len(c.unread))])
	copy(into, c.unread[:count])
	c.setUnread(c.unread[count:])
	return count
}

// setUnread replaces the buffered data, and counts it over all open connections. The caller holds mu.
func (c *conn) setUnread(data []byte) {
	if !c.closed {
		c.splitter.unreadBytes.Add(int64(len(data) - len(c.unread)))
	}
	c.unread = data
	if len(data) == 0 {
		c.unread = nil
	}
}

// consumeCurrent returns how many bytes of data belong to net/http's current request, and begins a
// new request if there is none. The caller holds mu.
func (c *conn) consumeCurrent(data []byte) int {
	if !c.serverBusy {
		c.serverBusy, c.current, c.currentConcurrent = true, requestTracker{}, false
	}
	return c.current.consume(data)
}

// readForServer reads data for net/http, and buffers data behind its request. It returns no data if
// the read was interrupted.
func (c *conn) readForServer(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	own := 0
	if count > 0 {
		own = c.consumeCurrent(into[:count])
		c.setUnread(append(c.unread, into[own:count]...))
	}
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resumeRead() {
		return 0, nil
	}
	return own, err
}

// readPipelined reads data of the requests behind that of net/http.
func (c *conn) readPipelined() {
	c.mu.Lock()
	length := len(c.unread)
	if length > 0 {
		c.unread = slices.Grow(c.unread, max(initialUnread, length))
	}
	free := c.unread[length:cap(c.unread)]
	c.mu.Unlock()
	var first [1]byte
	if length == 0 {
		free = first[:] // most clients send nothing here, and need no buffer
	}
	count, err := c.Conn.Read(free)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUnread(append(c.unread[:length], free[:count]...))
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.readErr = err
		c.cancelQueue()
	default:
		c.resumeRead()
	}
}

// resumeRead undoes interruptRead. It returns false if the read was not interrupted. The caller
// holds mu.
func (c *conn) resumeRead() bool {
	interrupted := c.interrupted
	c.interrupted = false
	if interrupted {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return interrupted
}

// interruptRead makes a blocked Read determine its action again. The caller holds mu.
func (c *conn) interruptRead() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
	if !c.interrupted {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
	if c.interrupted {
		return nil // resumeRead sets it
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// startNext starts the next buffered request if it is complete and may run concurrently with the
// earlier ones. It reports whether it did. The caller holds mu.
func (c *conn) startNext() bool {
	if c.closing || len(c.queue) >= c.splitter.limits.Depth {
		return false
	}
	parsed, complete := parseHead(c.unread)
	if !complete || parsed.ambiguous || !parsed.headOnly {
		return false
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.unread[:parsed.length])))
	if err != nil || !c.splitter.mayRunConcurrently(request) || !c.splitter.admit() {
		return false
	}
	c.setUnread(c.unread[parsed.length:])
	ctx, cancel := context.WithCancel(context.Background())
	request.RemoteAddr = c.RemoteAddr().String()
	r := newResponse(c, request.WithContext(ctx), cancel)
	c.queue = append(c.queue, r)
	if !c.serverBusy && len(c.queue) == 1 {
		close(r.turn)
	}
	go r.serve(c.splitter.handler)
	return true
}

// serverIdle is called when net/http has answered its request.
func (c *conn) serverIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.unbounded { // net/http may have read data of later requests
		return
	}
	c.serverBusy = false
	if len(c.queue) > 0 {
		close(c.queue[0].turn)
	}
}

// responseDone is called when the first response of the queue was written, or when a response can't
// be written.
func (c *conn) responseDone(r *response) {
	c.splitter.running.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = slices.DeleteFunc(c.queue, func(other *response) bool { return other == r })
	_ = c.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	switch {
	case c.closed:
	case r.aborted:
		c.close()
	case r.closesConn, c.closeAfterQueue && len(c.queue) == 0:
		c.closeGracefully()
	case len(c.queue) > 0:
		close(c.queue[0].turn)
		c.interruptRead()
	default:
		c.interruptRead()
	}
}

// mayClose reports whether a response may close the connection, which it may if no other follows.
// If so, no further requests are run. nil means the response to net/http's request.
func (c *conn) mayClose(r *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.queue) == 0
	if r != nil {
		last = c.queue[len(c.queue)-1] == r
	}
	c.closing = c.closing || last
	return last
}

// cancelQueue cancels the requests of the queue. The caller holds mu.
func (c *conn) cancelQueue() {
	for _, r := range c.queue {
		r.cancel()
	}
}

// Close implements net.Conn. On shutdown, net/http closes connections that are idle from its point
// of view. If responses are still queued, the connection is closed after them.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering && !c.closed {
		return nil
	}
	if !c.closed && !c.serverBusy && len(c.queue) > 0 && c.readErr == nil {
		c.closeAfterQueue = true
		c.interruptRead()
		return nil
	}
	return c.close()
}

// close closes the connection. The caller holds mu.
func (c *conn) close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	close(c.done)
	c.splitter.unreadBytes.Add(-int64(len(c.unread)))
	c.cancelQueue()
	err := c.Conn.Close()
	c.interruptRead()
	return err
}

// closeGracefully closes the connection for writing, and completely after lingerTime. If it were
// closed at once with unread input, it would be reset and the client would lose the response. The
// caller holds mu.
func (c *conn) closeGracefully() {
	if c.CloseWrite() != nil {
		_ = c.close()
		return
	}
	c.closeAfterQueue, c.lingering = true, true
	c.interruptRead()
	time.AfterFunc(lingerTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = c.close()
	})
}
