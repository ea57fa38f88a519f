package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// A process that is cut off from the workers forwards requests to others over their peer addresses. The
// dialing side introduces itself with Hello.Forwards. Once the receiver has answered with Update.Forwards,
// the connection carries HTTP requests.

// ErrNoForwarding is returned if a process takes no requests of others: it is cut off from the workers
// itself, or of a version that does not know forwarding.
var ErrNoForwarding = errs.New("the process takes no forwarded requests")

// DialForwarding opens a connection over which requests are forwarded to a process.
func DialForwarding(ctx context.Context, hello Hello, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello.Forwards = true
	var update Update
	// Nothing follows the answer before the first request, so the reader can be dropped.
	if err = writeLine(conn, hello); err == nil {
		err = readLine(bufio.NewReader(conn), &update)
	}
	if err == nil && !update.Forwards {
		err = ErrNoForwarding
	}
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	_ = conn.SetDeadline(time.Time{}) // the introduction had one
	return conn, nil
}

// OnForwarding sets the function that serves connections over which other processes forward requests. It
// closes them. Without it no requests are taken.
func (h *Hub) OnForwarding(serve func(net.Conn)) { h.serveForwarded = serve }

// acceptForwarding answers a process that wants to forward requests. It returns true if the connection was
// passed on.
func (h *Hub) acceptForwarding(conn net.Conn, reader *bufio.Reader) bool {
	if h.serveForwarded == nil || h.cutOff() {
		_ = writeLine(conn, Update{})
		return false
	}
	if writeLine(conn, Update{Forwards: true}) != nil {
		return false
	}
	_ = conn.SetDeadline(time.Time{})
	h.serveForwarded(&bufferedConn{Conn: conn, reader: reader})
	return true
}

// cutOff reports whether this process is cut off from the workers.
func (h *Hub) cutOff() bool { return h.Contact != nil && h.Contact() == CutOff }

// bufferedConn is a connection of which the beginning was read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// NetConn returns the connection below the buffer.
func (c *bufferedConn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader.
func (c *bufferedConn) Read(into []byte) (int, error) { return c.reader.Read(into) }
