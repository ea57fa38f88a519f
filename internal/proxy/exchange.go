package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
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

// outcome is how one send of a request ended.
type outcome string

// Outcomes of a send.
const (
	// outcomeAnswered: the worker's own answer is here.
	outcomeAnswered outcome = "answered"
	// outcomeNotSent: not one byte was written.
	outcomeNotSent outcome = "not-sent"
	// outcomeTurnedAway: the worker closed a new connection before anything was written.
	outcomeTurnedAway outcome = "turned-away"
	// outcomeNotRun: the worker said that it did not run the request.
	outcomeNotRun outcome = "not-run"
	// outcomeMisdirected: the worker is not the one that was meant.
	outcomeMisdirected outcome = "misdirected"
	// outcomeBroken: it was sent, and no valid answer came.
	outcomeBroken outcome = "broken"
	// outcomeLate: the time for the send ran out.
	outcomeLate outcome = "late"
	// outcomeGone: the client left.
	outcomeGone outcome = "client-gone"
)

// result is the end of one send.
type result struct {
	outcome outcome
	status  int
	header  http.Header
	body    []byte
	// stream is the rest of a long answer; stop ends the exchange.
	stream io.Reader
	stop   func(whole bool)
	load   Load
	loaded bool
	// closing says that the connection ends with this answer.
	closing bool
	took    time.Duration
	// written says that bytes of the request have left.
	written bool
	err     error
}

// slowFactor times the usual time of work shows that a worker has become slow,
// even where part of the time was spent waiting there.
const slowFactor = 2.5

// workTime estimates how long the worker worked on the request, and says whether
// that tells anything: where others wait, what waits at the end is only about
// what waited before, so only a long time does.
func (r *result) workTime(slots int, usual time.Duration) (took time.Duration, telling bool) {
	if !r.loaded || r.load.Waiting == 0 {
		return r.took, true
	}
	took = time.Duration(float64(r.took) / (1 + float64(r.load.Waiting)/float64(max(slots, 1))))
	return took, float64(took) > slowFactor*float64(usual)
}

// message is a client's request, ready to be sent.
type message struct {
	method, uri, host string
	id                string
	header            http.Header
	body              []byte
	// rest is what follows body and can be sent once; nil if there is nothing.
	rest   io.Reader
	length int64 // of body and rest; -1 if unknown
	// once says that the request must not be sent again after it may have run.
	once bool
}

// head writes the request's first lines.
func (m *message) head(headers Headers, target string, left time.Duration) []byte {
	var head bytes.Buffer
	head.Grow(512 + len(m.body))
	head.WriteString(m.method + " " + m.uri + " HTTP/1.1\r\nHost: " + m.host + "\r\n")
	headers.passHeaders(m.header, func(name string, values []string) {
		if name == headers.DeadlineMillis || name == headers.Target {
			return
		}
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	})
	head.WriteString(headers.DeadlineMillis + ": " + strconv.FormatInt(max(1, left.Milliseconds()), 10) + "\r\n")
	head.WriteString(headers.Target + ": " + target + "\r\n")
	switch {
	case m.rest != nil && m.length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case m.length > 0 || m.method == http.MethodPost || m.method == http.MethodPut || m.method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.FormatInt(m.length, 10) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// exchange is one send over one connection.
type exchange struct {
	headers Headers
	message *message
	pool    *pool
	conn    *conn
	// target is the worker that is meant.
	target string
	began  time.Time
}

// send sends a message to a worker and reads its answer. ctx ends when the
// client leaves; until bounds the send.
func send(ctx context.Context, headers Headers, from *pool, message *message, target string, deadline, until time.Time) result {
	bounded, cancel := context.WithTimeout(ctx, clock.Until(until))
	connection, err := from.get(bounded)
	if err != nil {
		cancel()
		return result{outcome: unsent(ctx), err: err}
	}
	if message.once && !connection.used && !connection.settle(bounded) {
		cancel()
		from.drop(connection)
		return result{outcome: turnedAway(ctx), err: errTurnedAway}
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
			return result{outcome: unsent(ctx), err: err}
		}
		return result{outcome: failed(ctx, until, err), err: err, written: true}
	}
	answer := e.read(ctx, until)
	answer.written = true
	answer.took = clock.Since(e.began)
	if answer.outcome == outcomeLate && connection.used {
		from.dropIdle()
	}
	if answer.stream != nil {
		stop := answer.stop
		answer.stop = func(whole bool) { stop(finish() && whole) }
		return answer
	}
	e.settle(finish(), &answer)
	return answer
}

func unsent(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcomeGone
	}
	return outcomeNotSent
}

func turnedAway(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcomeGone
	}
	return outcomeTurnedAway
}

func failed(ctx context.Context, until time.Time, err error) outcome {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return outcomeGone
	case !clock.Now().Before(until), errors.As(err, &timeout) && timeout.Timeout():
		return outcomeLate
	}
	return outcomeBroken
}

// write sends the request. wrote is false if not one byte can have left.
func (e *exchange) write(target string, deadline time.Time) (wrote bool, err error) {
	packet := append(e.message.head(e.headers, target, clock.Until(deadline)), e.message.body...)
	if e.message.rest != nil && e.message.length < 0 {
		return e.writeChunked(target, deadline)
	}
	count, err := e.conn.Write(packet)
	if err != nil || e.message.rest == nil {
		return count > 0, err
	}
	_, err = io.Copy(e.conn.Conn, e.message.rest)
	return true, err
}

// writeChunked sends a body whose length is not known.
func (e *exchange) writeChunked(target string, deadline time.Time) (wrote bool, err error) {
	count, err := e.conn.Write(e.message.head(e.headers, target, clock.Until(deadline)))
	if err != nil {
		return count > 0, err
	}
	chunks := &chunkWriter{to: e.conn.Conn}
	if _, err = chunks.Write(e.message.body); err == nil {
		_, err = io.Copy(chunks, e.message.rest)
	}
	if err == nil {
		_, err = io.WriteString(e.conn.Conn, "0\r\n\r\n")
	}
	return true, err
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

// read reads the answer to this request, past surplus answers to others.
func (e *exchange) read(ctx context.Context, until time.Time) result {
	asked := &http.Request{Method: e.message.method}
	for range maxSurplus + 1 {
		response, err := http.ReadResponse(e.conn.reader, asked)
		if err != nil {
			return result{outcome: failed(ctx, until, err), err: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(e.headers.RequestID) == e.message.id {
			return e.take(ctx, until, response)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBody)); err != nil || unframed(response) {
			return result{outcome: failed(ctx, until, err), err: errNoAnswer}
		}
	}
	return result{outcome: outcomeBroken, err: errNoAnswer}
}

var errTurnedAway = errors.New("the worker closed the new connection")

var errNoAnswer = errors.New("what came is not the answer to this request")

func unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// take reads the answer to this request.
func (e *exchange) take(ctx context.Context, until time.Time, response *http.Response) result {
	answer := result{status: response.StatusCode, header: response.Header}
	answer.closing = response.Close || unframed(response)
	answer.load, answer.loaded = parseLoad(response.Header.Get(e.headers.Load))
	kept, err := io.ReadAll(io.LimitReader(response.Body, maxKeptAnswer+1))
	answer.body = kept
	switch {
	case err != nil:
		answer.outcome, answer.err = failed(ctx, until, err), err
	case len(kept) > maxKeptAnswer:
		answer.outcome = outcomeAnswered
		answer.stream = response.Body
		answer.stop = func(whole bool) { e.done(whole, &answer) }
	default:
		answer.outcome = e.judge(response)
	}
	return answer
}

// judge tells a worker's answer from its refusal.
func (e *exchange) judge(response *http.Response) outcome {
	named := response.Header.Get(e.headers.Worker)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest && named != "" && named != e.target:
		return outcomeMisdirected
	case response.Header.Get(e.headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest:
		return outcomeNotRun
	case response.StatusCode/100 == 2 && response.Header.Get(e.headers.Signature) == "":
		return outcomeBroken
	}
	return outcomeAnswered
}

// settle keeps the connection if all on it is at its end.
func (e *exchange) settle(intact bool, answer *result) {
	ended := answer.outcome == outcomeAnswered || answer.outcome == outcomeNotRun || answer.outcome == outcomeMisdirected
	e.done(intact && ended, answer)
}

func (e *exchange) done(reusable bool, answer *result) {
	if !reusable || e.message.rest != nil || e.conn.reader.Buffered() > 0 || answer.closing {
		e.pool.drop(e.conn)
		return
	}
	rest := defaultIdle
	if told := keepAlive(answer.header); told > 0 {
		rest = time.Duration(float64(told) * idleShare)
	}
	e.pool.put(e.conn, rest)
}
