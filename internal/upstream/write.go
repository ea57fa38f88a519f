package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/clock"
)

const (
	// answerAfterWriteError is how long to wait for the answer after the body could not be written:
	// the worker may have sent it before it closed the connection, one or two round trips ago.
	answerAfterWriteError = 100 * time.Millisecond
	// writeEndGrace is how long to wait, after the answer, until the writing goroutine reports its
	// end: on a machine with a sixth of a core the goroutine may not be scheduled earlier.
	writeEndGrace = 20 * time.Millisecond
)

var errBodyTruncated = errors.New("the client's body ended before its declared length")

// closedChannel is the done channel of writes that have already ended.
var closedChannel = make(chan struct{})

func init() { close(closedChannel) }

// requestWrite is the write of a request. If the body is large, it runs concurrently with the wait
// for the answer.
type requestWrite struct {
	done chan struct{}
	// large is set if the write runs concurrently.
	large bool
	// interrupted is set if the router ended the write itself, which shows nothing about the worker.
	interrupted atomic.Bool
	// anyWritten is false if no byte can have been sent, truncated is set if the client's body ended
	// early, and reset if the worker reset the connection during the write. They and err are valid once
	// done is closed.
	anyWritten, truncated, reset bool
	err                          error
}

func (s *requestWrite) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// mayBeAnswered reports whether the worker may have answered the request, as far as its write has ended. A
// small request is written at once, before the worker can answer it.
func (s *requestWrite) mayBeAnswered() bool {
	return s.err == nil || s.large && s.anyWritten && !s.truncated
}

// failedResult returns the result of a write that failed without an answer.
func (s *requestWrite) failedResult(ctx context.Context, deadline time.Time) Result {
	switch {
	case !s.anyWritten:
		return Result{Outcome: unsentOutcome(ctx), Err: s.err}
	case s.truncated && (ctx.Err() == nil || errors.Is(s.err, os.ErrDeadlineExceeded)): // net/http ends the context after either
		return Result{Outcome: BodyTruncated, Err: s.err, Written: true}
	}
	return Result{Outcome: failureOutcome(ctx, deadline, s.err), Err: s.err, Written: true}
}

// startWrite sends the request. A small one is written before startWrite returns, a large one in
// the background.
func (e *exchange) startWrite(ctx context.Context, deadline time.Time) *requestWrite {
	head := e.message.encodeHead(e.headers, e.target, clock.Until(deadline))
	if !e.message.isLarge() {
		packet := append(head, e.message.Body.Prefix(bodies.MaxSmall)...)
		e.message.Shaper.RecordSent(len(packet))
		count, err := e.conn.Write(packet)
		return &requestWrite{done: closedChannel, anyWritten: count > 0, err: err}
	}
	s := &requestWrite{done: make(chan struct{}), large: true}
	if e.message.Rest != nil {
		e.message.bodyConsumed.Store(true)
	}
	go func() {
		to := &connWriter{to: e.conn}
		s.anyWritten, s.truncated, s.err = e.writeLarge(ctx, to, head)
		s.reset = to.reset
		close(s.done) // before the calls that end the wait for the answer, which must find the reason
		switch {
		case s.err == nil, s.interrupted.Load():
		case s.truncated, !s.anyWritten: // the worker must not take the request for complete
			abort(e.conn.Conn)
		case to.closed: // reading does not block, and the answer may be read at the pace of the client
		default:
			_ = e.conn.SetReadDeadline(time.Now().Add(answerAfterWriteError))
		}
	}()
	return s
}

// writeLarge sends a large request through the link shaper.
func (e *exchange) writeLarge(ctx context.Context, to io.Writer, head []byte) (anyWritten, truncated bool, err error) {
	count, err := to.Write(head)
	if err != nil {
		return count > 0, false, err
	}
	shaped := e.message.Shaper.NewWriter(ctx, to)
	if e.message.Rest != nil && e.message.Length < 0 {
		truncated, err = e.writeChunked(&chunkWriter{to: shaped})
		return true, truncated, err
	}
	pieces := e.message.Body.Pieces()
	if _, err = pieces.WriteTo(shaped); err != nil || e.message.Rest == nil {
		return true, false, err
	}
	truncated, err = e.copyRest(shaped, e.message.Length-e.message.Body.Length())
	return true, truncated, err
}

// writeChunked sends a body of unknown length. A truncated one gets no last chunk.
func (e *exchange) writeChunked(chunks *chunkWriter) (truncated bool, err error) {
	pieces := e.message.Body.Pieces()
	if _, err = pieces.WriteTo(chunks); err != nil {
		return false, err
	}
	if truncated, err = e.copyRest(chunks, -1); err != nil {
		return truncated, err
	}
	_, err = io.WriteString(chunks.to, "0\r\n\r\n")
	return false, err
}

// copyRest streams the rest of the body. length is its length in bytes, negative if unknown.
func (e *exchange) copyRest(to io.Writer, length int64) (truncated bool, err error) {
	from := &errorRecorder{from: e.message.Rest}
	copied, err := io.Copy(to, from)
	switch {
	case from.err != nil:
		return true, from.err
	case err == nil && length >= 0 && copied != length:
		return true, errBodyTruncated
	}
	return false, err
}

// errorRecorder records the error with which reading a body failed.
type errorRecorder struct {
	from io.Reader
	err  error
}

func (s *errorRecorder) Read(into []byte) (int, error) {
	count, err := s.from.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return count, err
}

// awaitWrite waits for the end of the write. If the worker answered before it had received the
// whole body, or stopped reading it, the connection is not reused.
func (e *exchange) awaitWrite(ctx context.Context, answer *Result) {
	s := e.write
	if answer.Err == nil {
		s.awaitEnd(writeEndGrace)
	}
	interrupted := e.endWrite()
	answer.Written = true
	if s.err == nil {
		return
	}
	answer.closesConn = true
	if answer.Status == 0 && !(interrupted && s.anyWritten) {
		*answer = s.failedResult(ctx, e.deadline)
	}
}

// awaitEnd waits for the end of the write, at most for a time.
func (s *requestWrite) awaitEnd(limit time.Duration) {
	if s.ended() {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

// endWrite interrupts the write unless it has ended, and reports whether it did.
func (e *exchange) endWrite() (interrupted bool) {
	interrupted = !e.write.ended()
	if interrupted {
		e.write.interrupted.Store(true)
		e.interrupt()
		<-e.write.done
	}
	return interrupted
}

// interrupt ends the write. The answer can still be read.
func (e *exchange) interrupt() {
	_ = e.conn.SetWriteDeadline(time.Now())
	if e.message.Interrupt != nil {
		e.message.Interrupt()
	}
}

// connWriter writes to a connection.
type connWriter struct {
	to io.Writer
	// reset is set once the peer has reset the connection, and closed if that may have been after its end.
	reset, closed bool
}

func (w *connWriter) Write(from []byte) (int, error) {
	count, err := w.to.Write(from)
	w.reset = w.reset || errors.Is(err, syscall.ECONNRESET)
	w.closed = w.closed || w.reset || errors.Is(err, syscall.EPIPE)
	return count, err
}

// chunkWriter writes each piece as one chunk.
type chunkWriter struct {
	to io.Writer
}

func (w *chunkWriter) Write(piece []byte) (int, error) {
	if len(piece) == 0 {
		return 0, nil
	}
	chunk := append([]byte(strconv.FormatInt(int64(len(piece)), 16)+"\r\n"), piece...)
	if _, err := w.to.Write(append(chunk, "\r\n"...)); err != nil {
		return 0, err
	}
	return len(piece), nil
}
