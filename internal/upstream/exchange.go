package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/clock"
)

// Bounds of one exchange.
const (
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
	until  time.Time
	// finish ends the watch over the send's time; false if it has run out.
	finish func() bool
	cancel context.CancelFunc
}

// Target is the worker that a message is for.
type Target struct {
	ID string
	// Admits is asked just before anything is written; nil: the worker may get the message.
	Admits func() bool
}

// Send sends a message to a worker and reads its answer. ctx ends when the
// client leaves; until bounds the send. Whoever takes the result frees it.
func Send(ctx context.Context, headers Headers, from *Pool, message *Message, target Target, deadline, until time.Time) Result {
	bounded, cancel := context.WithTimeout(ctx, clock.Until(until))
	connection, err := from.get(bounded)
	if err != nil {
		cancel()
		return Result{Outcome: unsent(ctx), Err: err}
	}
	if message.AtMostOnce && !connection.used && !connection.settle(bounded) {
		cancel()
		from.drop(connection)
		return Result{Outcome: turnedAway(ctx), Err: errTurnedAway}
	}
	if target.Admits != nil && !target.Admits() {
		cancel()
		from.giveBack(connection)
		return Result{Outcome: Withheld}
	}
	e := &exchange{
		headers: headers, message: message, pool: from, conn: connection, target: target.ID,
		began: clock.Now(), until: until, cancel: cancel,
	}
	stopWatch := context.AfterFunc(bounded, func() { abort(connection.Conn) })
	e.finish = func() bool {
		cancelled := !stopWatch()
		cancel()
		return !cancelled
	}
	return e.run(ctx, bounded, deadline)
}

// run writes the request, and reads the answer beside it.
func (e *exchange) run(ctx, bounded context.Context, deadline time.Time) Result {
	sent := e.write(bounded, deadline)
	if sent.ended() && sent.err != nil {
		e.finish()
		e.pool.drop(e.conn)
		return sent.failure(ctx, e.until)
	}
	answer := e.read(ctx)
	e.join(ctx, sent, &answer)
	answer.Took = clock.Since(e.began)
	if answer.Outcome == TimedOut && e.conn.used {
		e.pool.DropIdle()
	}
	if answer.Stream != nil {
		e.keepStreaming(&answer)
		return answer
	}
	e.settle(e.finish(), &answer)
	return answer
}

// keepStreaming frees the worker's connection once a long answer is in, however slowly the
// caller takes it. What is not wanted any more is given up.
func (e *exchange) keepStreaming(answer *Result) {
	settled := make(chan struct{})
	answer.settled = settled
	filled, ended := answer.filled, *answer
	go func() {
		defer close(settled)
		err := <-filled
		e.settle(e.finish() && err == nil, &ended)
	}()
}

func unsent(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return ClientGone
	}
	return NotSent
}

func turnedAway(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return ClientGone
	}
	return ConnectionRejected
}

func failed(ctx context.Context, until time.Time, err error) Outcome {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return ClientGone
	case !clock.Now().Before(until), errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut
	}
	return Broken
}

// read reads the answer to this request, past surplus answers to others.
func (e *exchange) read(ctx context.Context) Result {
	asked := &http.Request{Method: e.message.Method}
	for range maxSurplus + 1 {
		response, err := http.ReadResponse(e.conn.reader, asked)
		if err != nil {
			return Result{Outcome: failed(ctx, e.until, err), Err: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(e.headers.RequestID) == e.message.ID {
			return e.take(ctx, response)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBody)); err != nil || unframed(response) {
			return Result{Outcome: failed(ctx, e.until, err), Err: errNoAnswer}
		}
	}
	return Result{Outcome: Broken, Err: errNoAnswer}
}

var errTurnedAway = errors.New("the worker closed the new connection")

var errNoAnswer = errors.New("what came is not the answer to this request")

func unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// take reads the answer to this request. Its head is judged before any of it goes on.
func (e *exchange) take(ctx context.Context, response *http.Response) Result {
	answer := Result{Status: response.StatusCode, Header: response.Header, Outcome: e.judge(response)}
	answer.closing = response.Close || unframed(response)
	answer.Notice, answer.SentAt = e.headers.notice(response, e.target, clock.Now()), e.began
	if length := response.ContentLength; length >= 0 && length <= bodies.MaxSmall {
		spool := bodies.NewSpool(e.message.Budget, true)
		whole, err := spool.Fill(response.Body, length, bodies.MaxSmall)
		switch {
		case whole:
			answer.Body = spool
			return answer
		case !errors.Is(err, bodies.ErrNoMemory):
			spool.Free()
			answer.Outcome, answer.Err = failed(ctx, e.until, err), err
			return answer
		}
	}
	e.takeLarge(ctx, response, &answer)
	return answer
}

// takeLarge reads a large answer, or one whose length is not known. It is kept back while it
// may be whole soon, so that a broken one can still be asked for again.
func (e *exchange) takeLarge(ctx context.Context, response *http.Response, answer *Result) {
	pipe := bodies.NewPipe(e.message.Budget, max(e.message.AnswerBufferSize, bodies.MaxSmall))
	filled := make(chan error, 1)
	go func() { filled <- pipe.Fill(response.Body) }()
	whole, err := pipe.Await(e.message.AnswerBufferTime)
	switch {
	case whole:
		answer.Body = pipe.Spool()
	case err != nil:
		pipe.Close()
		answer.Outcome, answer.Err = failed(ctx, e.until, err), err
	case answer.Outcome != Answered:
		pipe.Close()
		answer.closing = true
	default:
		answer.Stream, answer.filled, answer.cancel = pipe, filled, e.cancel
	}
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
	if !reusable || e.conn.reader.Buffered() > 0 || answer.closing {
		e.pool.drop(e.conn)
		return
	}
	rest := defaultIdle
	if told := keepAlive(answer.Header); told > 0 {
		rest = time.Duration(float64(told) * idleShare)
	}
	e.pool.put(e.conn, rest)
}
