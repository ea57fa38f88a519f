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

// response is the response to a pipelined request. It implements http.ResponseWriter.
type response struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	header  http.Header
	// turn is closed once all earlier responses are written.
	turn chan struct{}
	// buffered is the data that was written before its turn.
	buffered []byte
	// status is zero until the head is written.
	status int
	// noBody is set if nothing follows the head, and chunked if the body has no declared length.
	// Otherwise, remaining is the number of bytes still missing from the body.
	noBody, chunked bool
	remaining       int64
	// closesConn is set if this is the last response on its connection, and aborted if the response
	// is incomplete.
	closesConn, aborted bool
	deadline            time.Time
}

func newResponse(conn *conn, request *http.Request, cancel context.CancelFunc) *response {
	return &response{conn: conn, request: request, cancel: cancel, header: http.Header{}, turn: make(chan struct{})}
}

// serve runs the request and writes its response when it is its turn.
func (r *response) serve(handler http.Handler) {
	defer r.conn.responseDone(r)
	defer r.cancel()
	r.runHandler(handler)
	if !r.awaitTurn() {
		r.conn.splitter.bufferedBytes.Add(-int64(len(r.buffered)))
		r.aborted = true
		return
	}
	r.aborted = r.flushBuffered() != nil || r.aborted
}

// runHandler runs the handler, and recovers from panics as net/http's server does.
func (r *response) runHandler(handler http.Handler) {
	defer func() {
		if recovered := recover(); recovered != nil {
			r.aborted = true
			if recovered != http.ErrAbortHandler {
				log.Printf("pipeline: panic serving %s: %v\n%s", r.request.RemoteAddr, recovered, debug.Stack())
			}
		}
	}()
	handler.ServeHTTP(r, r.request)
	r.finish()
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// hasConnectionClose reports whether a header requests that the connection be closed.
func hasConnectionClose(header http.Header) bool {
	return strings.EqualFold(header.Get("Connection"), "close")
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.status != 0 || status < http.StatusOK {
		return
	}
	r.status = status
	r.noBody = r.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	header := r.header.Clone()
	r.closesConn = hasConnectionClose(header) && r.conn.mayClose(r)
	if !r.closesConn {
		header.Del("Connection")
	}
	header.Del("Transfer-Encoding")
	length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	switch {
	case r.noBody:
	case err == nil && length >= 0:
		r.remaining = length
	default:
		header.Del("Content-Length")
		header.Set("Transfer-Encoding", "chunked")
		r.chunked = true
	}
	if len(header["Date"]) == 0 {
		header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&head) // a bytes.Buffer returns no errors
	head.WriteString("\r\n")
	if r.writeInOrder(head.Bytes()) != nil {
		r.aborted = true
	}
}

// Write implements io.Writer.
func (r *response) Write(body []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	switch {
	case len(body) == 0:
		return 0, nil
	case r.noBody:
		return r.discard(body)
	case r.chunked:
		framed := fmt.Appendf(nil, "%x\r\n", len(body))
		framed = append(framed, body...)
		return len(body), r.writeInOrder(append(framed, '\r', '\n'))
	case int64(len(body)) > r.remaining:
		return 0, http.ErrContentLength
	}
	r.remaining -= int64(len(body))
	return len(body), r.writeInOrder(body)
}

// discard takes a body that is not sent, as net/http's server does: only responses to HEAD may be written one.
func (r *response) discard(body []byte) (int, error) {
	if r.status == http.StatusNoContent || r.status == http.StatusNotModified {
		return 0, http.ErrBodyNotAllowed
	}
	return len(body), nil
}

// finish ends the response. It is aborted if its body is shorter than declared.
func (r *response) finish() {
	if r.status == 0 && r.header.Get("Content-Length") == "" {
		r.header.Set("Content-Length", "0")
	}
	r.WriteHeader(http.StatusOK)
	if r.chunked && r.writeInOrder([]byte("0\r\n\r\n")) != nil || r.remaining > 0 {
		r.aborted = true
	}
}

// writeInOrder writes data if it is the response's turn. Before that, it buffers the data if the
// limit permits, and waits for the turn otherwise.
func (r *response) writeInOrder(data []byte) error {
	select {
	case <-r.turn:
	default:
		if r.conn.splitter.reserveBuffer(len(data)) {
			r.buffered = append(r.buffered, data...)
			return nil
		}
		if !r.awaitTurn() {
			return net.ErrClosed
		}
	}
	if err := r.flushBuffered(); err != nil {
		return err
	}
	return r.writeNow(data)
}

// awaitTurn waits for the response's turn. It returns false if the connection was closed first.
func (r *response) awaitTurn() bool {
	select {
	case <-r.turn:
		return true
	case <-r.conn.done:
		return false
	}
}

// flushBuffered writes the buffered data.
func (r *response) flushBuffered() error {
	buffered := r.buffered
	r.buffered = nil
	r.conn.splitter.bufferedBytes.Add(-int64(len(buffered)))
	return r.writeNow(buffered)
}

// writeNow writes data to the connection.
func (r *response) writeNow(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_ = r.conn.SetWriteDeadline(r.deadline)
	count, err := r.conn.Conn.Write(data)
	if err == nil && count < len(data) {
		return io.ErrShortWrite
	}
	return err
}

// FlushError implements flushing for http.ResponseController. It has nothing to do, since data is
// only buffered before the response's turn.
func (r *response) FlushError() error { return nil }

// SetWriteDeadline sets the deadline of writes in the response's turn, for http.ResponseController.
func (r *response) SetWriteDeadline(at time.Time) error {
	r.deadline = at
	return nil
}

// SetReadDeadline does nothing, since the request has no body.
func (r *response) SetReadDeadline(time.Time) error { return nil }

// EnableFullDuplex does nothing, since the request has no body.
func (r *response) EnableFullDuplex() error { return nil }
