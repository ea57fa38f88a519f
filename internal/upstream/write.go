package upstream

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/clock"
)

const (
	// answerAfterCut is how long a worker's answer is awaited that took no more of the body:
	// it may have come before the connection ended, a round trip or two ago.
	answerAfterCut = 100 * time.Millisecond
	// lastWrite is how long the end of the write may be seen after the answer: on a machine
	// with a sixth of a core the goroutine that writes may have to wait for its turn.
	lastWrite = 20 * time.Millisecond
)

var errBodyCut = errors.New("the client's body ended before its end")

// atOnce is closed: it stands for the end of a write that nobody has to wait for.
var atOnce = make(chan struct{})

func init() { close(atOnce) }

// sending is the write of a request, which goes on beside the wait for the answer where the
// body is large.
type sending struct {
	done chan struct{}
	// wrote is false if not one byte can have left, and cut says that the client's body
	// ended early. All are set once done is closed.
	wrote, cut bool
	err        error
}

func (s *sending) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// failure is the result of a write that failed without an answer.
func (s *sending) failure(ctx context.Context, until time.Time) Result {
	switch {
	case !s.wrote:
		return Result{Outcome: unsent(ctx), Err: s.err}
	case s.cut && ctx.Err() == nil:
		return Result{Outcome: BodyTruncated, Err: s.err, Written: true}
	}
	return Result{Outcome: failed(ctx, until, s.err), Err: s.err, Written: true}
}

// write sends the request: a small one at once, a large one beside the wait for its answer.
func (e *exchange) write(ctx context.Context, deadline time.Time) *sending {
	head := e.message.head(e.headers, e.target, clock.Until(deadline))
	if !e.message.large() {
		packet := append(head, e.message.Body.Prefix(bodies.MaxSmall)...)
		e.message.Shaper.RecordSent(len(packet))
		count, err := e.conn.Write(packet)
		return &sending{done: atOnce, wrote: count > 0, err: err}
	}
	s := &sending{done: make(chan struct{})}
	if e.message.Rest != nil {
		e.message.spent.Store(true)
	}
	go func() {
		s.wrote, s.cut, s.err = e.writeLarge(ctx, head)
		close(s.done) // before what ends the wait for the answer, which must see why
		switch {
		case s.err == nil:
		case s.cut, !s.wrote: // the worker must not take it for whole
			abort(e.conn.Conn)
		default:
			_ = e.conn.SetReadDeadline(time.Now().Add(answerAfterCut))
		}
	}()
	return s
}

// writeLarge sends a large request, in turns with others.
func (e *exchange) writeLarge(ctx context.Context, head []byte) (wrote, cut bool, err error) {
	count, err := e.conn.Write(head)
	if err != nil {
		return count > 0, false, err
	}
	paced := e.message.Shaper.NewWriter(ctx, e.conn.Conn)
	if e.message.Rest != nil && e.message.Length < 0 {
		cut, err = e.writeChunked(&chunkWriter{to: paced})
		return true, cut, err
	}
	pieces := e.message.Body.Pieces()
	if _, err = pieces.WriteTo(paced); err != nil || e.message.Rest == nil {
		return true, false, err
	}
	cut, err = e.copyRest(paced, e.message.Length-e.message.Body.Length())
	return true, cut, err
}

// writeChunked sends a body whose length is not known. One that was cut gets no last chunk.
func (e *exchange) writeChunked(chunks *chunkWriter) (cut bool, err error) {
	pieces := e.message.Body.Pieces()
	if _, err = pieces.WriteTo(chunks); err != nil {
		return false, err
	}
	if cut, err = e.copyRest(chunks, -1); err != nil {
		return cut, err
	}
	_, err = io.WriteString(chunks.to, "0\r\n\r\n")
	return false, err
}

// copyRest passes on what follows the beginning; so many bytes, if that is known.
func (e *exchange) copyRest(to io.Writer, length int64) (cut bool, err error) {
	from := &source{from: e.message.Rest}
	copied, err := io.Copy(to, from)
	switch {
	case from.err != nil:
		return true, from.err
	case err == nil && length >= 0 && copied != length:
		return true, errBodyCut
	}
	return false, err
}

// source remembers why a body could not be read on.
type source struct {
	from io.Reader
	err  error
}

func (s *source) Read(into []byte) (int, error) {
	count, err := s.from.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return count, err
}

// join waits for the end of the write. A worker that answered before it had the whole body,
// or took no more of it, gets nothing else on this connection.
func (e *exchange) join(ctx context.Context, s *sending, answer *Result) {
	if answer.Err == nil && !s.ended() {
		timer := time.NewTimer(lastWrite)
		select {
		case <-s.done:
		case <-timer.C:
		}
		timer.Stop()
	}
	interrupted := !s.ended()
	if interrupted {
		e.interrupt()
		<-s.done
	}
	answer.Written = true
	if s.err == nil {
		return
	}
	answer.closing = true
	if answer.Status == 0 && !(interrupted && s.wrote) {
		*answer = s.failure(ctx, e.until)
	}
}

// interrupt ends the write; the answer may be read on.
func (e *exchange) interrupt() {
	_ = e.conn.SetWriteDeadline(time.Now())
	if e.message.Interrupt != nil {
		e.message.Interrupt()
	}
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
