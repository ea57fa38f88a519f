package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Bounds of one exchange.
const (
	// maxKeptAnswer is the largest answer that is read whole before it is passed
	// on; a larger one is streamed.
	maxKeptAnswer = 256 << 10
	// maxSurplus is how many answers to other requests are read past.
	maxSurplus = 3
	// maxSurplusBody is the largest body of such an answer.
	maxSurplusBody = 1 << 20
)

// exchange is one send over one connection.
type exchange struct {
	headers Headers
	message *Message
	pool    *Pool
	conn    *conn
	// target is the worker that is meant.
	target string
	began  time.Time
}

// Send sends a message to a worker and reads its answer. ctx ends when the
// client leaves; until bounds the send.
func Send(ctx context.Context, headers Headers, from *Pool, message *Message, target string, deadline, until time.Time) Result {
	bounded, cancel := context.WithTimeout(ctx, clock.Until(until))
	connection, err := from.get(bounded)
	if err != nil {
		cancel()
		return Result{Outcome: unsent(ctx), Err: err}
	}
	if message.Once && !connection.used && !connection.settle(bounded) {
		cancel()
		from.drop(connection)
		return Result{Outcome: turnedAway(ctx), Err: errTurnedAway}
	}
	e := &exchange{headers: headers, message: message, pool: from, conn: connection, target: target, began: clock.Now()}
	stopWatch := context.AfterFunc(bounded, func() { abort(connection.Conn) })
	finish := func() bool {
		cancelled := !stopWatch()
		cancel()
		return !cancelled
	}
	if wrote, err := e.write(target, deadline); err != nil {
		finish()
		from.drop(connection)
		if !wrote {
			return Result{Outcome: unsent(ctx), Err: err}
		}
		return Result{Outcome: failed(ctx, until, err), Err: err, Written: true}
	}
	answer := e.read(ctx, until)
	answer.Written = true
	answer.Took = clock.Since(e.began)
	if answer.Outcome == Late && connection.used {
		from.DropIdle()
	}
	if answer.Stream != nil {
		stop := answer.Stop
		answer.Stop = func(whole bool) { stop(finish() && whole) }
		return answer
	}
	e.settle(finish(), &answer)
	return answer
}

func unsent(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return Gone
	}
	return NotSent
}

func turnedAway(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return Gone
	}
	return TurnedAway
}

func failed(ctx context.Context, until time.Time, err error) Outcome {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return Gone
	case !clock.Now().Before(until), errors.As(err, &timeout) && timeout.Timeout():
		return Late
	}
	return Broken
}

// write sends the request. wrote is false if not one byte can have left.
func (e *exchange) write(target string, deadline time.Time) (wrote bool, err error) {
	packet := append(e.message.head(e.headers, target, clock.Until(deadline)), e.message.Body...)
	if e.message.Rest != nil && e.message.Length < 0 {
		return e.writeChunked(target, deadline)
	}
	count, err := e.conn.Write(packet)
	if err != nil || e.message.Rest == nil {
		return count > 0, err
	}
	_, err = io.Copy(e.conn.Conn, e.message.Rest)
	return true, err
}

// writeChunked sends a body whose length is not known.
func (e *exchange) writeChunked(target string, deadline time.Time) (wrote bool, err error) {
	count, err := e.conn.Write(e.message.head(e.headers, target, clock.Until(deadline)))
	if err != nil {
		return count > 0, err
	}
	chunks := &chunkWriter{to: e.conn.Conn}
	if _, err = chunks.Write(e.message.Body); err == nil {
		_, err = io.Copy(chunks, e.message.Rest)
	}
	if err == nil {
		_, err = io.WriteString(e.conn.Conn, "0\r\n\r\n")
	}
	return true, err
}

// read reads the answer to this request, past surplus answers to others.
func (e *exchange) read(ctx context.Context, until time.Time) Result {
	asked := &http.Request{Method: e.message.Method}
	for range maxSurplus + 1 {
		response, err := http.ReadResponse(e.conn.reader, asked)
		if err != nil {
			return Result{Outcome: failed(ctx, until, err), Err: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(e.headers.RequestID) == e.message.ID {
			return e.take(ctx, until, response)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBody)); err != nil || unframed(response) {
			return Result{Outcome: failed(ctx, until, err), Err: errNoAnswer}
		}
	}
	return Result{Outcome: Broken, Err: errNoAnswer}
}

var errTurnedAway = errors.New("the worker closed the new connection")

var errNoAnswer = errors.New("what came is not the answer to this request")

func unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// take reads the answer to this request.
func (e *exchange) take(ctx context.Context, until time.Time, response *http.Response) Result {
	answer := Result{Status: response.StatusCode, Header: response.Header}
	answer.closing = response.Close || unframed(response)
	answer.Load, answer.Loaded = parseLoad(response.Header.Get(e.headers.Load))
	kept, err := io.ReadAll(io.LimitReader(response.Body, maxKeptAnswer+1))
	answer.Body = kept
	switch {
	case err != nil:
		answer.Outcome, answer.Err = failed(ctx, until, err), err
	case len(kept) > maxKeptAnswer:
		answer.Outcome = Answered
		answer.Stream = response.Body
		answer.Stop = func(whole bool) { e.done(whole, &answer) }
	default:
		answer.Outcome = e.judge(response)
	}
	return answer
}

// judge tells a worker's answer from its refusal.
func (e *exchange) judge(response *http.Response) Outcome {
	named := response.Header.Get(e.headers.Worker)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest && named != "" && named != e.target:
		return Misdirected
	case response.Header.Get(e.headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest:
		return NotRun
	case response.StatusCode/100 == 2 && response.Header.Get(e.headers.Signature) == "":
		return Broken
	}
	return Answered
}

// settle keeps the connection if all on it is at its end.
func (e *exchange) settle(intact bool, answer *Result) {
	ended := answer.Outcome == Answered || answer.Outcome == NotRun || answer.Outcome == Misdirected
	e.done(intact && ended, answer)
}

func (e *exchange) done(reusable bool, answer *Result) {
	if !reusable || e.message.Rest != nil || e.conn.reader.Buffered() > 0 || answer.closing {
		e.pool.drop(e.conn)
		return
	}
	rest := defaultIdle
	if told := keepAlive(answer.Header); told > 0 {
		rest = time.Duration(float64(told) * idleShare)
	}
	e.pool.put(e.conn, rest)
}
