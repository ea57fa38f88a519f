package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bodies"
)

const (
	testBodySize = 100_000
	testBudget   = 1 << 20
)

// scriptedWorker is a worker with one connection, whose reads and writes are scripted. net.Pipe has
// no buffer, so a byte counts as sent only once the worker has read it.
type scriptedWorker struct {
	pool   *Pool
	budget *bodies.MemoryBudget
	worker net.Conn
	reader *bufio.Reader
}

func newScriptedWorker(t *testing.T) *scriptedWorker {
	t.Helper()
	routerConn, worker := net.Pipe()
	w := &scriptedWorker{pool: NewPool("unused", nil), budget: bodies.NewMemoryBudget(testBudget), worker: worker, reader: bufio.NewReader(worker)}
	w.pool.put(newConn(routerConn, 0), time.Hour)
	t.Cleanup(func() { _ = worker.Close() })
	return w
}

// newMessage returns a message with a body of which the given number of bytes are buffered. The
// rest is streamed.
func (w *scriptedWorker) newMessage(t *testing.T, body io.Reader, length, buffered int64) *Message {
	t.Helper()
	spool := bodies.NewSpool(w.budget, false)
	complete, err := spool.Fill(body, length, buffered)
	assert.NilError(t, err)
	m := &Message{
		Method: "POST", URI: "/x", Host: "h", ID: "one", Header: http.Header{"X-Id": {"one"}}, Body: spool, Length: spool.Length(),
		Budget: w.budget, Shaper: bodies.NewLinkShaper(0), AnswerBufferSize: testBudget, AtMostOnce: true,
	}
	if !complete {
		m.Rest, m.Length = body, length
	}
	return m
}

func (w *scriptedWorker) send(ctx context.Context, m *Message) Result {
	headers := Headers{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Signature: "X-Signature", Target: "X-Target", NotRun: "X-Not-Run"}
	until := time.Now().Add(2 * time.Second)
	return Send(ctx, headers, w.pool, m, Target{ID: "w"}, until, until)
}

func (w *scriptedWorker) hasIdleConn() bool {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	return len(w.pool.idle) > 0
}

// answer writes an answer of the given length, but only body as its body.
func (w *scriptedWorker) answer(length int, body string) {
	_, _ = fmt.Fprintf(w.worker, "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// readRequest reads a request's head, and returns the request.
func (w *scriptedWorker) readRequest() *http.Request {
	request, err := http.ReadRequest(w.reader)
	if err != nil {
		return &http.Request{Body: http.NoBody}
	}
	return request
}

func bodyOf(length int) io.Reader { return strings.NewReader(strings.Repeat("b", length)) }

// A worker may answer before it has read a large body, keep the connection open, and continue to
// read later. It must then receive the rest of that body or the end, and no other request.
func TestConnectionIsNotReusedAfterEarlyAnswer(t *testing.T) {
	for name, buffered := range map[string]int64{"buffered body": testBodySize, "streamed body": 20_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScriptedWorker(t)
				after := make(chan string, 1)
				go func() {
					w.readRequest()
					w.answer(2, "ok")
					time.Sleep(time.Minute) // longer than any request lasts
					rest, _ := io.ReadAll(w.reader)
					after <- string(rest)
				}()
				began := time.Now()
				got := w.send(t.Context(), w.newMessage(t, bodyOf(testBodySize), testBodySize, buffered))
				assert.Equal(t, got.Outcome, Answered)
				assert.Assert(t, time.Since(began) < time.Second, "the answer is returned at once")
				assert.Assert(t, !w.hasIdleConn())
				assert.Equal(t, strings.Trim(<-after, "b"), "")
			})
		})
	}
}

func TestConnectionIsReusedAfterCompleteBody(t *testing.T) {
	for name, c := range map[string]struct{ length, buffered int64 }{
		"buffered body": {length: testBodySize, buffered: testBodySize}, "streamed body": {length: testBodySize, buffered: 20_000},
		"chunked body": {length: -1, buffered: 20_000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScriptedWorker(t)
				read := make(chan int64, 1)
				go func() {
					count, _ := io.Copy(io.Discard, w.readRequest().Body)
					w.answer(2, "ok")
					read <- count
				}()
				got := w.send(t.Context(), w.newMessage(t, bodyOf(testBodySize), c.length, c.buffered))
				assert.Equal(t, got.Outcome, Answered)
				assert.Equal(t, <-read, int64(testBodySize))
				assert.Assert(t, w.hasIdleConn())
			})
		})
	}
}

// truncatedReader is a body that ends early: it fails with io.ErrUnexpectedEOF in place of io.EOF.
type truncatedReader struct{ from io.Reader }

func (c truncatedReader) Read(into []byte) (int, error) {
	count, err := c.from.Read(into)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// A body that the client truncated must not look complete to the worker, whether or not its length
// is known. The outcome must not count against the worker.
func TestTruncatedRequestBodyIsNotSentAsComplete(t *testing.T) {
	for name, c := range map[string]struct {
		length int64
		body   io.Reader
	}{
		"known length":                   {length: testBodySize, body: truncatedReader{bodyOf(testBodySize / 2)}},
		"known length, without an error": {length: testBodySize, body: bodyOf(testBodySize / 2)},
		"unknown length":                 {length: -1, body: truncatedReader{bodyOf(testBodySize / 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScriptedWorker(t)
				read := make(chan error, 1)
				go func() {
					_, err := io.Copy(io.Discard, w.readRequest().Body)
					read <- err
				}()
				got := w.send(t.Context(), w.newMessage(t, c.body, c.length, 20_000))
				assert.Equal(t, got.Outcome, BodyTruncated)
				assert.Assert(t, got.Written)
				assert.Assert(t, <-read != nil, "the worker took the body for complete")
				assert.Assert(t, !w.hasIdleConn())
			})
		})
	}
}

// An answer that the worker sent before it closed the connection is used, although the request's
// body was not sent completely.
func TestAnswerSentBeforeCloseIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScriptedWorker(t)
		go func() {
			w.readRequest()
			w.answer(2, "ok")
			_ = w.worker.Close()
		}()
		got := w.send(t.Context(), w.newMessage(t, bodyOf(testBodySize), testBodySize, testBodySize))
		assert.Equal(t, got.Outcome, Answered)
		assert.Equal(t, string(got.Body.Prefix(2)), "ok")
		assert.Assert(t, !w.hasIdleConn())
	})
}

// A worker that closes the connection while it receives the body may have run the request.
func TestCloseDuringRequestBodyIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScriptedWorker(t)
		go func() {
			w.readRequest()
			_ = w.worker.Close()
		}()
		got := w.send(t.Context(), w.newMessage(t, bodyOf(testBodySize), testBodySize, 20_000))
		assert.Equal(t, got.Outcome, Broken)
		assert.Assert(t, got.Written)
	})
}

// A client that reads slowly does not occupy the worker's connection, and an answer that is not
// read releases its memory.
func TestSlowClientDoesNotOccupyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScriptedWorker(t)
		go func() {
			w.readRequest()
			w.answer(testBodySize, strings.Repeat("a", testBodySize/2))
			time.Sleep(time.Second)
			_, _ = io.WriteString(w.worker, strings.Repeat("a", testBodySize-testBodySize/2))
		}()
		m := w.newMessage(t, strings.NewReader(""), 0, 0)
		m.AnswerBufferTime = 100 * time.Millisecond
		got := w.send(t.Context(), m)
		assert.Assert(t, got.Stream != nil, "the answer is streamed before it is complete")
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, w.hasIdleConn(), "the worker has sent the whole answer")
		assert.Assert(t, w.budget.Used() >= testBodySize)
		got.Free()
		assert.Equal(t, w.budget.Used(), int64(0))
	})
}

// An answer that exceeds the memory budget is read as the client takes it, and arrives completely.
func TestAnswerBeyondMemoryBudgetIsStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScriptedWorker(t)
		w.budget = bodies.NewMemoryBudget(3 * bodies.MaxSmall)
		go func() {
			w.readRequest()
			w.answer(testBodySize, strings.Repeat("a", testBodySize))
		}()
		got := w.send(t.Context(), w.newMessage(t, strings.NewReader(""), 0, 0))
		assert.Assert(t, got.Stream != nil)
		time.Sleep(time.Second)
		assert.Assert(t, !w.hasIdleConn())
		assert.Assert(t, w.budget.Used() <= w.budget.Limit())
		var read strings.Builder
		_, err := got.Stream.WriteTo(&read, func() error { return nil })
		assert.NilError(t, err)
		assert.Equal(t, read.Len(), testBodySize)
		got.Free()
		synctest.Wait()
		assert.Assert(t, w.hasIdleConn())
		assert.Equal(t, w.budget.Used(), int64(0))
	})
}

// An answer that the worker truncates is Broken if nothing of it was forwarded. Once it is
// streamed, the worker's error is reported by the stream.
func TestTruncatedAnswer(t *testing.T) {
	for name, bufferTime := range map[string]time.Duration{"while buffered": time.Second, "while streamed": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScriptedWorker(t)
				go func() {
					w.readRequest()
					w.answer(testBodySize, strings.Repeat("a", testBodySize/2))
					time.Sleep(500 * time.Millisecond)
					_ = w.worker.Close()
				}()
				m := w.newMessage(t, strings.NewReader(""), 0, 0)
				m.AnswerBufferTime = bufferTime
				got := w.send(t.Context(), m)
				if name == "while buffered" {
					assert.Equal(t, got.Outcome, Broken)
					assert.Equal(t, w.budget.Used(), int64(0))
					return
				}
				_, err := got.Stream.WriteTo(io.Discard, func() error { return nil })
				assert.Assert(t, err != nil)
				assert.Assert(t, got.Stream.Err() != nil)
				got.Free()
			})
		})
	}
}
