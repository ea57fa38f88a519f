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
	testBody = 100_000
	testRoom = 1 << 20
)

// link is one connection to a worker whose every byte is scripted: net.Pipe holds nothing, so
// that what a worker has not read has not left.
type link struct {
	pool   *Pool
	room   *bodies.MemoryBudget
	worker net.Conn
	reader *bufio.Reader
}

func newLink(t *testing.T) *link {
	t.Helper()
	ours, worker := net.Pipe()
	l := &link{pool: NewPool("unused"), room: bodies.NewMemoryBudget(testRoom), worker: worker, reader: bufio.NewReader(worker)}
	l.pool.put(&conn{Conn: ours, reader: bufio.NewReaderSize(ours, readBuffer)}, time.Hour)
	t.Cleanup(func() { _ = worker.Close() })
	return l
}

// message has a body of which so many bytes are kept; the rest is passed on.
func (l *link) message(t *testing.T, body io.Reader, length, kept int64) *Message {
	t.Helper()
	spool := bodies.NewSpool(l.room, false)
	whole, err := spool.Fill(body, length, kept)
	assert.NilError(t, err)
	m := &Message{
		Method: "POST", URI: "/x", Host: "h", ID: "one", Header: http.Header{"X-Id": {"one"}}, Body: spool, Length: spool.Length(),
		Budget: l.room, Shaper: bodies.NewLinkShaper(0), AnswerBufferSize: testRoom, AtMostOnce: true,
	}
	if !whole {
		m.Rest, m.Length = body, length
	}
	return m
}

func (l *link) send(ctx context.Context, m *Message) Result {
	headers := Headers{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Signature: "X-Signature", Target: "X-Target", NotRun: "X-Not-Run"}
	until := time.Now().Add(2 * time.Second)
	return Send(ctx, headers, l.pool, m, Target{ID: "w"}, until, until)
}

func (l *link) kept() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return len(l.pool.idle) > 0
}

// answer writes an answer; what is beyond the body's bytes is never sent.
func (l *link) answer(length int, body string) {
	_, _ = fmt.Fprintf(l.worker, "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// head reads a request's head, and returns the request.
func (l *link) head() *http.Request {
	request, err := http.ReadRequest(l.reader)
	if err != nil {
		return &http.Request{Body: http.NoBody}
	}
	return request
}

func bodyOf(length int) io.Reader { return strings.NewReader(strings.Repeat("b", length)) }

// A worker may answer before it has read a long body, hold the connection, and read on later:
// it must find the rest of that body there or the end, and no other request.
func TestAWorkerThatAnswersEarlyGetsNothingElse(t *testing.T) {
	for name, kept := range map[string]int64{"body in memory": testBody, "body passed on": 20_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLink(t)
				after := make(chan string, 1)
				go func() {
					l.head()
					l.answer(2, "ok")
					time.Sleep(time.Minute) // longer than any request lasts
					rest, _ := io.ReadAll(l.reader)
					after <- string(rest)
				}()
				began := time.Now()
				got := l.send(t.Context(), l.message(t, bodyOf(testBody), testBody, kept))
				assert.Equal(t, got.Outcome, Answered)
				assert.Assert(t, time.Since(began) < time.Second, "the answer is there")
				assert.Assert(t, !l.kept())
				assert.Equal(t, strings.Trim(<-after, "b"), "")
			})
		})
	}
}

func TestAConnectionThatTookAWholeBodyIsKept(t *testing.T) {
	for name, c := range map[string]struct{ length, kept int64 }{
		"in memory": {length: testBody, kept: testBody}, "passed on": {length: testBody, kept: 20_000},
		"in chunks": {length: -1, kept: 20_000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLink(t)
				read := make(chan int64, 1)
				go func() {
					count, _ := io.Copy(io.Discard, l.head().Body)
					l.answer(2, "ok")
					read <- count
				}()
				got := l.send(t.Context(), l.message(t, bodyOf(testBody), c.length, c.kept))
				assert.Equal(t, got.Outcome, Answered)
				assert.Equal(t, <-read, int64(testBody))
				assert.Assert(t, l.kept())
			})
		})
	}
}

// cut is a body that breaks off.
type cut struct{ from io.Reader }

func (c cut) Read(into []byte) (int, error) {
	count, err := c.from.Read(into)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// A body that its caller cut must not look whole to the worker, whether or not its length is
// known; and it says nothing against the worker.
func TestABodyThatItsCallerCutIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		length int64
		body   io.Reader
	}{
		"of known length":              {length: testBody, body: cut{bodyOf(testBody / 2)}},
		"of known length, without end": {length: testBody, body: bodyOf(testBody / 2)},
		"in chunks":                    {length: -1, body: cut{bodyOf(testBody / 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLink(t)
				read := make(chan error, 1)
				go func() {
					_, err := io.Copy(io.Discard, l.head().Body)
					read <- err
				}()
				got := l.send(t.Context(), l.message(t, c.body, c.length, 20_000))
				assert.Equal(t, got.Outcome, BodyTruncated)
				assert.Assert(t, got.Written)
				assert.Assert(t, <-read != nil, "the worker took it for whole")
				assert.Assert(t, !l.kept())
			})
		})
	}
}

// What a worker has answered before it closed goes on, although the body did not get through.
func TestAnAnswerBeforeTheWorkersCloseIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(t)
		go func() {
			l.head()
			l.answer(2, "ok")
			_ = l.worker.Close()
		}()
		got := l.send(t.Context(), l.message(t, bodyOf(testBody), testBody, testBody))
		assert.Equal(t, got.Outcome, Answered)
		assert.Equal(t, string(got.Body.Prefix(2)), "ok")
		assert.Assert(t, !l.kept())
	})
}

// A worker that closes in the middle of a body may have run the request.
func TestAWorkerThatClosesInABodyMayHaveRunIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(t)
		go func() {
			l.head()
			_ = l.worker.Close()
		}()
		got := l.send(t.Context(), l.message(t, bodyOf(testBody), testBody, 20_000))
		assert.Equal(t, got.Outcome, Broken)
		assert.Assert(t, got.Written)
	})
}

// A caller who reads slowly holds no worker up, and an answer that is not read gives its
// memory back.
func TestASlowReaderHoldsNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(t)
		go func() {
			l.head()
			l.answer(testBody, strings.Repeat("a", testBody/2))
			time.Sleep(time.Second)
			_, _ = io.WriteString(l.worker, strings.Repeat("a", testBody-testBody/2))
		}()
		m := l.message(t, strings.NewReader(""), 0, 0)
		m.AnswerBufferTime = 100 * time.Millisecond
		got := l.send(t.Context(), m)
		assert.Assert(t, got.Stream != nil, "it is passed on before it is whole")
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, l.kept(), "the worker is done with it")
		assert.Assert(t, l.room.Used() >= testBody)
		got.Free()
		assert.Equal(t, l.room.Used(), int64(0))
	})
}

// What does not fit into memory waits at the worker, and comes whole.
func TestAnAnswerBeyondTheRoomComesAsItIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(t)
		l.room = bodies.NewMemoryBudget(3 * bodies.MaxSmall)
		go func() {
			l.head()
			l.answer(testBody, strings.Repeat("a", testBody))
		}()
		got := l.send(t.Context(), l.message(t, strings.NewReader(""), 0, 0))
		assert.Assert(t, got.Stream != nil)
		time.Sleep(time.Second)
		assert.Assert(t, !l.kept())
		assert.Assert(t, l.room.Used() <= l.room.Limit())
		var read strings.Builder
		_, err := got.Stream.WriteTo(&read, func() error { return nil })
		assert.NilError(t, err)
		assert.Equal(t, read.Len(), testBody)
		got.Free()
		synctest.Wait()
		assert.Assert(t, l.kept())
		assert.Equal(t, l.room.Used(), int64(0))
	})
}

// An answer that the worker cuts is broken while nothing of it went on, and is known to be the
// worker's cut afterwards.
func TestAnAnswerThatTheWorkerCut(t *testing.T) {
	for name, held := range map[string]time.Duration{"kept back": time.Second, "passed on": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLink(t)
				go func() {
					l.head()
					l.answer(testBody, strings.Repeat("a", testBody/2))
					time.Sleep(500 * time.Millisecond)
					_ = l.worker.Close()
				}()
				m := l.message(t, strings.NewReader(""), 0, 0)
				m.AnswerBufferTime = held
				got := l.send(t.Context(), m)
				if name == "kept back" {
					assert.Equal(t, got.Outcome, Broken)
					assert.Equal(t, l.room.Used(), int64(0))
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
