package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
)

// answer is the answer to a request that runs behind others on its connection. It implements
// http.ResponseWriter.
type answer struct {
	of      *conn
	request *http.Request
	cancel  context.CancelFunc
	header  http.Header
	// turn is closed once all answers ahead are written.
	turn chan struct{}
	// held is what was written before.
	held []byte
	// status is zero until the head was written.
	status int
	// bodiless says that nothing follows the head; chunked that the body has no length, and left
	// is what else is still to come of it.
	bodiless, chunked bool
	left              int64
	// closes says that it is the last on its connection, and broken that it is cut.
	closes, broken bool
	deadline       time.Time
}

func newAnswer(of *conn, request *http.Request, cancel context.CancelFunc) *answer {
	return &answer{of: of, request: request, cancel: cancel, header: http.Header{}, turn: make(chan struct{})}
}

// serve runs the request and writes its answer in its turn.
func (a *answer) serve(handler http.Handler) {
	defer a.of.answered(a)
	defer a.cancel()
	a.run(handler)
	if !a.await() {
		a.of.splitter.held.Add(-int64(len(a.held)))
		a.broken = true
		return
	}
	a.broken = a.flush() != nil || a.broken
}

// run lets the handler answer, as net/http's server does.
func (a *answer) run(handler http.Handler) {
	defer func() {
		if failed := recover(); failed != nil {
			a.broken = true
			if failed != http.ErrAbortHandler {
				log.Printf("pipeline: panic serving %s: %v\n%s", a.request.RemoteAddr, failed, debug.Stack())
			}
		}
	}()
	handler.ServeHTTP(a, a.request)
	a.finish()
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// closes reports whether a header says that the connection closes.
func closes(header http.Header) bool {
	return strings.EqualFold(header.Get("Connection"), "close")
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if a.status != 0 || status < http.StatusOK {
		return
	}
	a.status = status
	a.bodiless = a.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	header := a.header.Clone()
	a.closes = closes(header) && a.of.mayClose(a)
	if !a.closes {
		header.Del("Connection")
	}
	header.Del("Transfer-Encoding")
	length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	switch {
	case a.bodiless:
	case err == nil && length >= 0:
		a.left = length
	default:
		header.Del("Content-Length")
		header.Set("Transfer-Encoding", "chunked")
		a.chunked = true
	}
	if len(header["Date"]) == 0 {
		header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&head) // a buffer takes all
	head.WriteString("\r\n")
	if a.put(head.Bytes()) != nil {
		a.broken = true
	}
}

// Write implements io.Writer.
func (a *answer) Write(body []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	switch {
	case a.bodiless:
		return 0, http.ErrBodyNotAllowed
	case len(body) == 0:
		return 0, nil
	case a.chunked:
		framed := fmt.Appendf(nil, "%x\r\n", len(body))
		framed = append(framed, body...)
		return len(body), a.put(append(framed, '\r', '\n'))
	case int64(len(body)) > a.left:
		return 0, http.ErrContentLength
	}
	a.left -= int64(len(body))
	return len(body), a.put(body)
}

// finish ends the answer. One that is shorter than its head says is cut.
func (a *answer) finish() {
	if a.status == 0 && a.header.Get("Content-Length") == "" {
		a.header.Set("Content-Length", "0")
	}
	a.WriteHeader(http.StatusOK)
	if a.chunked && a.put([]byte("0\r\n\r\n")) != nil || a.left > 0 {
		a.broken = true
	}
}

// put writes bytes if it is the answer's turn, and keeps them until then if there is room; else it
// waits for the turn.
func (a *answer) put(written []byte) error {
	select {
	case <-a.turn:
	default:
		if a.of.splitter.hold(len(written)) {
			a.held = append(a.held, written...)
			return nil
		}
		if !a.await() {
			return net.ErrClosed
		}
	}
	if err := a.flush(); err != nil {
		return err
	}
	return a.send(written)
}

// await waits for the answer's turn; false if its connection has gone.
func (a *answer) await() bool {
	select {
	case <-a.turn:
		return true
	case <-a.of.gone:
		return false
	}
}

// flush writes what was kept.
func (a *answer) flush() error {
	held := a.held
	a.held = nil
	a.of.splitter.held.Add(-int64(len(held)))
	return a.send(held)
}

func (a *answer) send(written []byte) error {
	if len(written) == 0 {
		return nil
	}
	_ = a.of.SetWriteDeadline(a.deadline)
	count, err := a.of.Conn.Write(written)
	if err == nil && count < len(written) {
		return io.ErrShortWrite
	}
	return err
}

// FlushError lets http.ResponseController flush: nothing is kept that may leave.
func (a *answer) FlushError() error { return nil }

// SetWriteDeadline bounds writes in the answer's turn, for http.ResponseController.
func (a *answer) SetWriteDeadline(at time.Time) error {
	a.deadline = at
	return nil
}

// SetReadDeadline does nothing: the request has no body.
func (a *answer) SetReadDeadline(time.Time) error { return nil }

// EnableFullDuplex does nothing, for the same reason.
func (a *answer) EnableFullDuplex() error { return nil }
