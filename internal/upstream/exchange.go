package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/responses"
)

const (
	// maxSurplusAnswers is the maximum number of answers to other requests that are skipped.
	maxSurplusAnswers = 3
	// maxSurplusBytes is the maximum length of the body of one. Reading a longer one takes processor
	// time and bandwidth from other requests, up to the deadline if it does not end.
	maxSurplusBytes = 8 << 20
)

// exchange is one send of a request over one connection.
type exchange struct {
	headers Headers
	message *Message
	pool    *Pool
	conn    *conn
	write   *requestWrite
	// target is the ID of the worker that the request is for.
	target   string
	began    time.Time
	deadline time.Time
	// endWatch cancels the abort of the connection at the end of the send's context. It returns
	// false if the abort has already begun.
	endWatch func() bool
	cancel   context.CancelFunc
	// surplus is the number of answers to other requests that were skipped.
	surplus int
}

// Target identifies the worker that a message is for.
type Target struct {
	// ID is empty for another router, which chooses the worker itself.
	ID string
	// Admits is called just before anything is written, and reports whether the worker may still
	// get the message. It may be nil, in which case the worker may.
	Admits func() bool
}

// Send sends a message to a worker and reads its answer. ctx ends when the client disconnects.
// deadline is passed to the worker; sendDeadline limits this send. The caller must free the result.
func Send(ctx context.Context, headers Headers, pool *Pool, message *Message, target Target, deadline, sendDeadline time.Time) Result {
	bounded, cancel := context.WithTimeout(ctx, clock.Until(sendDeadline))
	connection, err := pool.get(bounded, message)
	if err != nil {
		cancel()
		return Result{Outcome: unsentOutcome(ctx), Err: err}
	}
	if message.AtMostOnce && !connection.used && !connection.awaitReset(bounded) {
		cancel()
		pool.drop(connection)
		return Result{Outcome: rejectedOutcome(ctx), Err: errConnectionRejected}
	}
	if target.Admits != nil && !target.Admits() {
		cancel()
		pool.returnUnused(connection)
		return Result{Outcome: Withheld}
	}
	message.recordSend(connection)
	e := &exchange{
		headers: headers, message: message, pool: pool, conn: connection, target: target.ID,
		began: clock.Now(), deadline: sendDeadline, cancel: cancel,
	}
	stopWatch := context.AfterFunc(bounded, func() { abort(connection.Conn) })
	e.endWatch = func() bool {
		cancelled := !stopWatch()
		cancel()
		return !cancelled
	}
	return e.run(ctx, bounded, deadline)
}

// run writes the request and reads the answer. A large request is written concurrently.
func (e *exchange) run(ctx, bounded context.Context, deadline time.Time) Result {
	e.write = e.startWrite(bounded, deadline)
	return e.finish(ctx)
}

// finish reads the answer and ends the write. A worker may have answered a request that it did not read to
// its end.
func (e *exchange) finish(ctx context.Context) Result {
	if e.write.ended() && !e.write.mayBeAnswered() {
		e.endWatch()
		e.pool.drop(e.conn)
		return e.write.failedResult(ctx, e.deadline)
	}
	answer := e.readAnswer(ctx)
	e.awaitWrite(ctx, &answer)
	answer.Took, answer.SurplusAnswers = clock.Since(e.began), e.surplus
	if answer.Outcome == TimedOut && e.conn.used {
		e.pool.DropIdle()
	}
	if answer.Stream != nil {
		e.releaseAfterStream(&answer)
		return answer
	}
	e.release(e.endWatch(), &answer)
	return answer
}

// releaseAfterStream releases the connection once the worker has sent all of a streamed answer,
// however slowly the client reads it. The connection is dropped if the stream failed or was
// canceled.
func (e *exchange) releaseAfterStream(answer *Result) {
	released := make(chan struct{})
	answer.released = released
	streamEnd, ended := answer.streamEnd, *answer
	go func() {
		defer close(released)
		err := <-streamEnd
		e.release(e.endWatch() && err == nil, &ended)
	}()
}

// unsentOutcome returns the outcome of a send of which nothing was written.
func unsentOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return ClientGone
	}
	return NotSent
}

// rejectedOutcome returns the outcome of a send whose new connection was closed.
func rejectedOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return ClientGone
	}
	return ConnectionRejected
}

// failureOutcome returns the outcome of a send that failed with err after it was written.
func failureOutcome(ctx context.Context, deadline time.Time, err error) Outcome {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return ClientGone
	case !clock.Now().Before(deadline), errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut
	}
	return Broken
}

// readAnswer reads the answer to this request, and skips answers to other requests. Their bodies may be
// of any length: what is left of one would be read as the head of the next answer.
func (e *exchange) readAnswer(ctx context.Context) Result {
	request := &http.Request{Method: e.message.Method}
	for range maxSurplusAnswers + 1 {
		head, headMemory, err := e.readHead(request)
		if err != nil {
			return Result{Outcome: failureOutcome(ctx, e.deadline, err), Err: err}
		}
		if !responses.IsInterim(head) && head.Header.Get(e.headers.RequestID) == e.message.ID {
			answer := e.receive(ctx, head)
			answer.headMemory, answer.budget = headMemory, e.message.Budget
			return answer
		}
		e.message.Budget.Release(headMemory)
		if responses.IsInterim(head) {
			continue
		}
		e.surplus++
		skipped, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxSurplusBytes))
		if err != nil || skipped == maxSurplusBytes || delimitedByClose(head) {
			return Result{Outcome: failureOutcome(ctx, e.deadline, err), Err: errWrongAnswer}
		}
	}
	return Result{Outcome: Broken, Err: errWrongAnswer}
}

// readHead reads the head of an answer. It returns the memory in bytes that is reserved for the head, which
// the caller releases unless there is an error.
func (e *exchange) readHead(request *http.Request) (*http.Response, int64, error) {
	buffered, _ := e.conn.reader.Peek(e.conn.reader.Buffered())
	e.conn.heads.BeginHead(buffered, e.message.Budget)
	head, err := http.ReadResponse(e.conn.reader, request)
	reserved, refused := e.conn.heads.EndHead()
	if err == nil {
		err = responses.Check(head)
	}
	if err == nil {
		err = responses.CheckFraming(head, e.conn.heads.Raw())
	}
	if err == nil {
		head.Body = responses.WrapBody(head)
		return head, reserved, nil
	}
	e.message.Budget.Release(reserved)
	if refused != nil {
		err = refused
	}
	return nil, 0, err
}

var errConnectionRejected = errors.New("the worker closed the new connection")

var errWrongAnswer = errors.New("received an answer to another request")

// delimitedByClose reports whether the end of the connection marks the end of the body.
func delimitedByClose(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// receive reads the answer to this request. It is classified by its head, before any of it is
// forwarded.
func (e *exchange) receive(ctx context.Context, response *http.Response) Result {
	answer := Result{Status: response.StatusCode, Header: response.Header, Outcome: e.classify(response)}
	answer.closesConn = response.Close || delimitedByClose(response)
	answer.Notice, answer.SentAt = e.headers.parseNotice(response, e.target, clock.Now()), e.began
	if delimitedByClose(response) {
		response.Body = &closeDelimitedBody{ReadCloser: response.Body, exchange: e}
	}
	if length := response.ContentLength; length >= 0 && length <= bodies.MaxSmall {
		spool := bodies.NewSpool(e.message.Budget, true)
		complete, err := spool.Fill(response.Body, length, bodies.MaxSmall)
		switch {
		case complete:
			answer.Body = spool
			return answer
		case !errors.Is(err, bodies.ErrNoMemory):
			spool.Free()
			answer.Outcome, answer.Err = failureOutcome(ctx, e.deadline, err), err
			return answer
		}
	}
	e.receiveLarge(ctx, response, &answer)
	return answer
}

// receiveLarge reads an answer that is large or of unknown length. The answer is buffered up to the
// limits of the message before it is streamed, so that the request can be sent again if the answer
// breaks in the meantime.
func (e *exchange) receiveLarge(ctx context.Context, response *http.Response, answer *Result) {
	pipe := bodies.NewPipe(e.message.Budget, max(e.message.AnswerBufferSize, bodies.MaxSmall))
	streamEnd := make(chan error, 1)
	go func() { streamEnd <- pipe.Fill(response.Body) }()
	complete, err := pipe.Await(e.message.AnswerBufferTime)
	switch {
	case complete:
		answer.Body = pipe.Spool()
	case err != nil:
		pipe.Close()
		answer.Outcome, answer.Err = failureOutcome(ctx, e.deadline, err), err
	case answer.Outcome != Answered:
		pipe.Close()
		answer.closesConn = true
	default:
		answer.Stream, answer.streamEnd, answer.cancel = pipe, streamEnd, e.cancel
	}
}

// errAnswerReset is returned in place of the end of a body whose connection was reset.
var errAnswerReset = fmt.Errorf("the answer was interrupted: %w", syscall.ECONNRESET)

// closeDelimitedBody is the body of an answer that ends with its connection. It is complete only if the
// worker closed the connection rather than reset it. The kernel reports a reset once: if a write gets the
// error, reading returns a regular end.
type closeDelimitedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) && b.exchange.resetDuringWrite() {
		err = errAnswerReset
	}
	return count, err
}

// resetDuringWrite reports whether the worker reset the connection while the request was written to it. It
// ends the write.
func (e *exchange) resetDuringWrite() bool {
	e.write.awaitEnd(writeEndGrace)
	e.endWrite()
	return e.write.reset
}

// classify distinguishes a worker's answer from a rejection.
func (e *exchange) classify(response *http.Response) Outcome {
	answeredBy := response.Header.Get(e.headers.Worker)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest && answeredBy != "" && answeredBy != e.target:
		return Misdirected
	case response.Header.Get(e.headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest:
		return NotRun
	case response.StatusCode/100 == 2 && response.Header.Get(e.headers.Signature) == "":
		return Broken
	}
	return Answered
}

// release returns the connection to the pool if the exchange on it is complete, and drops it
// otherwise.
func (e *exchange) release(intact bool, answer *Result) {
	ended := answer.Outcome == Answered || answer.Outcome == NotRun || answer.Outcome == Misdirected
	e.returnConn(intact && ended, answer)
}

// returnConn returns a reusable connection to the pool, unless the answer closes it or more input
// was received.
func (e *exchange) returnConn(reusable bool, answer *Result) {
	if !reusable || e.conn.reader.Buffered() > 0 || answer.closesConn {
		e.pool.drop(e.conn)
		return
	}
	idleTime := defaultIdleTime
	if timeout := keepAliveTimeout(answer.Header); timeout > 0 {
		idleTime = time.Duration(float64(timeout) * keepAliveShare)
	}
	e.pool.put(e.conn, idleTime)
}
