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
	// mostUnread is how many bytes of requests that can't run yet are read from a connection: a
	// caller that sends more waits.
	mostUnread = 16 << 10
	// firstUnread is how many are made room for once the first one comes.
	firstUnread = 2 << 10
	// lingerTime is how long a connection that has been closed one way may take what was written.
	lingerTime = 500 * time.Millisecond
)

// conn is a caller's connection. net/http reads its requests from it and writes their answers, one
// after the other; what comes behind a request that is not answered yet is split off here.
type conn struct {
	net.Conn
	splitter *Splitter
	// gone is closed once the connection is.
	gone chan struct{}
	// wake lets a reader go on that waits for room.
	wake chan struct{}

	mu sync.Mutex
	// unread are bytes of requests that can't run yet.
	unread []byte
	// serving says that net/http has a request, which current follows.
	serving bool
	current extent
	// row are the answers behind that, in the order of their requests.
	row []*answer
	// closing says that an answer which is under way, or was the last, closes the connection:
	// what comes after it is not read.
	closing bool
	// closeAfter says that the connection is to be closed once the row is answered.
	closeAfter bool
	// lingering says that it is closed already for what is written.
	lingering bool
	closed    bool
	// deadline is up to when net/http reads; interrupted says that a read was ended before.
	deadline    time.Time
	interrupted bool
	// ended is what reading has ended with.
	ended error
}

func newConn(accepted net.Conn, splitter *Splitter) *conn {
	return &conn{Conn: accepted, splitter: splitter, gone: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Read implements net.Conn. net/http also reads while it has a request, to notice that the caller
// leaves: then what comes is of the requests behind it.
func (c *conn) Read(into []byte) (int, error) {
	for {
		count, next, err := c.step(into)
		switch {
		case count > 0 || err != nil:
			return count, err
		case next == readOwn:
			if count, err := c.readOwn(into); count > 0 || err != nil {
				return count, err
			}
		case next == readBehind:
			c.readBehind()
		case next == waitForRoom:
			<-c.wake
		}
	}
}

// next is what a reader does when nothing that it may have is there.
type next int

const (
	// readOwn reads bytes of the request that net/http has, or gets next.
	readOwn next = iota
	// readBehind reads bytes of those behind it.
	readBehind
	// waitForRoom waits until one of the row is answered.
	waitForRoom
)

// step returns bytes that net/http may have, or else what is to be done.
func (c *conn) step(into []byte) (int, next, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closeAfter {
		return 0, 0, net.ErrClosed
	}
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	busy := c.serving || len(c.row) > 0
	if busy && c.rests() {
		for c.runNext() {
		}
	}
	own := !busy || c.serving && !c.current.over()
	switch {
	case own && len(c.unread) > 0:
		return c.handOver(into), 0, nil
	case c.ended != nil:
		return 0, 0, c.ended
	case own:
		return 0, readOwn, nil
	case len(c.unread) >= mostUnread:
		return 0, waitForRoom, nil
	}
	return 0, readBehind, nil
}

// rests reports whether net/http has all of its request, or none. The caller holds mu.
func (c *conn) rests() bool { return !c.serving || c.current.over() }

// handOver gives net/http bytes that were read before. The caller holds mu.
func (c *conn) handOver(into []byte) int {
	count := c.taken(c.unread[:min(len(into), len(c.unread))])
	copy(into, c.unread[:count])
	c.unread = c.unread[count:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	return count
}

// taken returns how many of some bytes are of the request that net/http has or begins to have.
// The caller holds mu.
func (c *conn) taken(data []byte) int {
	if !c.serving {
		c.serving, c.current = true, extent{}
	}
	return c.current.take(data)
}

// readOwn reads bytes for net/http, and keeps what comes behind its request. It returns none where
// the read was interrupted.
func (c *conn) readOwn(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	own := 0
	if count > 0 {
		own = c.taken(into[:count])
		c.unread = append(c.unread, into[own:count]...)
	}
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
		return 0, nil
	}
	return own, err
}

// readBehind reads bytes of requests behind the one that net/http has.
func (c *conn) readBehind() {
	c.mu.Lock()
	length := len(c.unread)
	if length > 0 {
		c.unread = slices.Grow(c.unread, max(firstUnread, length))
	}
	room := c.unread[length:cap(c.unread)]
	c.mu.Unlock()
	var first [1]byte
	if length == 0 {
		room = first[:] // most callers send nothing, and need no memory for it
	}
	count, err := c.Conn.Read(room)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = append(c.unread[:length], room[:count]...)
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.ended = err
		c.cancelRow()
	default:
		c.resume()
	}
}

// resume undoes an interruption; false if there was none. The caller holds mu.
func (c *conn) resume() bool {
	interrupted := c.interrupted
	c.interrupted = false
	if interrupted {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return interrupted
}

// interrupt lets a reader look again at what it may do. The caller holds mu.
func (c *conn) interrupt() {
	select {
	case c.wake <- struct{}{}:
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
	case c.wake <- struct{}{}:
	default:
	}
	if c.interrupted {
		return nil // the reader sets it when it goes on
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// runNext runs the request that comes next, if it is there and may run beside those ahead. The
// caller holds mu.
func (c *conn) runNext() bool {
	if c.closing || len(c.row) >= c.splitter.limits.Depth {
		return false
	}
	read, whole := scan(c.unread)
	if !whole || read.unclear || !read.bare {
		return false
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.unread[:read.length])))
	if err != nil || !mayBeside(request) || !c.splitter.limits.MayRunConcurrently(request) || !c.splitter.admit() {
		return false
	}
	c.unread = c.unread[read.length:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	request.RemoteAddr = c.RemoteAddr().String()
	one := newAnswer(c, request.WithContext(ctx), cancel)
	c.row = append(c.row, one)
	if !c.serving && len(c.row) == 1 {
		close(one.turn)
	}
	go one.serve(c.splitter.handler)
	return true
}

// mayBeside reports whether a request names a host and has a method that changes nothing.
func mayBeside(request *http.Request) bool {
	return (request.Method == http.MethodGet || request.Method == http.MethodHead) && request.Host != ""
}

// answeredFirst notes that net/http has answered its request.
func (c *conn) answeredFirst() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.endless { // net/http may have read more than that
		return
	}
	c.serving = false
	if len(c.row) > 0 {
		close(c.row[0].turn)
	}
}

// answered notes that the first answer of the row is written, or can't be.
func (c *conn) answered(one *answer) {
	c.splitter.behind.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.row = slices.DeleteFunc(c.row, func(other *answer) bool { return other == one })
	_ = c.SetWriteDeadline(time.Time{}) // fails with the connection only
	switch {
	case c.closed:
	case one.broken:
		c.close()
	case one.closes, c.closeAfter && len(c.row) == 0:
		c.closeSoon()
	case len(c.row) > 0:
		close(c.row[0].turn)
		c.interrupt()
	default:
		c.interrupt()
	}
}

// mayClose reports whether an answer may close the connection: not while others come after it.
// Nothing is read any more after one that does. nil stands for the answer to net/http's request.
func (c *conn) mayClose(one *answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.row) == 0
	if one != nil {
		last = c.row[len(c.row)-1] == one
	}
	c.closing = c.closing || last
	return last
}

// cancelRow ends the requests of the row. The caller holds mu.
func (c *conn) cancelRow() {
	for _, one := range c.row {
		one.cancel()
	}
}

// Close implements net.Conn. net/http closes connections that it takes to be idle when it ends:
// those on which answers are still to come are closed after them.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering && !c.closed {
		return nil
	}
	if !c.closed && !c.serving && len(c.row) > 0 && c.ended == nil {
		c.closeAfter = true
		c.interrupt()
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
	close(c.gone)
	c.cancelRow()
	err := c.Conn.Close()
	c.interrupt()
	return err
}

// closeSoon closes the connection once the caller could read what was written: closed at once with
// unread bytes it would be reset, and the answer lost with it. The caller holds mu.
func (c *conn) closeSoon() {
	if c.CloseWrite() != nil {
		_ = c.close()
		return
	}
	c.closeAfter, c.lingering = true, true
	c.interrupt()
	time.AfterFunc(lingerTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = c.close()
	})
}

// CloseWrite closes the connection for what is written.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger says what becomes of bytes that are not sent yet when the connection is closed, as for
// net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
