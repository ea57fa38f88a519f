package upstream

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// endlessBytes is how much a worker of these tests sends before it stops.
const endlessBytes = 8 << 20

// writeRepeatedly writes the beginning of an answer and then a piece again and again, until the router
// closes the connection or endlessBytes are written. It returns the number of bytes that the router read.
func (w *scriptedWorker) writeRepeatedly(beginning, piece string) int {
	written, err := w.worker.Write([]byte(beginning))
	for err == nil && written < endlessBytes {
		var count int
		count, err = w.worker.Write([]byte(piece))
		written += count
	}
	return written
}

// A worker that sends a head without end made each router that read it hold all of it.
func TestEndlessHeadOfAnswerIsNotBuffered(t *testing.T) {
	long := strings.Repeat("a", 4000)
	for name, test := range map[string]struct{ beginning, piece string }{
		"status line":         {"HTTP/1.1 200 ", long},
		"header value":        {"HTTP/1.1 200 OK\r\nX-A: ", long},
		"header name":         {"HTTP/1.1 200 OK\r\n", long},
		"header lines":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: a\r\n", 500)},
		"empty header lines":  {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\n", 1000)},
		"continuation lines":  {"HTTP/1.1 200 OK\r\nX-A: a\r\n", strings.Repeat(" a\r\n", 1000)},
		"after an interim":    {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A: ", long},
		"after surplus bytes": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nX-A: ", long},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScriptedWorker(t)
				read := make(chan int, 1)
				go func() {
					w.readRequest()
					read <- w.writeRepeatedly(test.beginning, test.piece)
				}()
				began := time.Now()
				got := w.send(t.Context(), w.newMessage(t, bodyOf(10), 10, 10))
				assert.Equal(t, got.Outcome, Broken)
				assert.Equal(t, time.Since(began), time.Duration(0), "it does not wait for the deadline")
				assert.Assert(t, !w.hasIdleConn())
				count := <-read
				assert.Assert(t, count <= 256<<10, "%d bytes read", count)
			})
		})
	}
}

// Long heads of many workers, each within its limit, share the memory of bodies in flight.
func TestLongHeadsOfAllWorkersShareMemory(t *testing.T) {
	for name, test := range map[string]struct {
		used int64
		want Outcome
	}{"memory left": {want: Answered}, "no memory left": {used: testBudget, want: Broken}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScriptedWorker(t)
				go func() {
					w.readRequest()
					_, _ = fmt.Fprintf(w.worker, "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\nX-A: %s\r\nContent-Length: 0\r\n\r\n", strings.Repeat("a", 20_000))
				}()
				m := w.newMessage(t, bodyOf(0), 0, 0)
				assert.Assert(t, w.budget.ReserveSmall(test.used))
				got := w.send(t.Context(), m)
				assert.Equal(t, got.Outcome, test.want)
				held := w.budget.Used() - test.used
				assert.Equal(t, held >= 4*16_000, test.want == Answered, "%d bytes held", held)
				got.Free()
				assert.Equal(t, w.budget.Used(), test.used)
			})
		})
	}
}

// A worker that stops in the middle of an answer must not make its beginning pass for a whole answer.
func TestAnswerCutAtAnyByteIsBroken(t *testing.T) {
	for name, test := range map[string]struct{ method, text string }{
		"of known length": {"POST", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nhello"},
		"in chunks":       {"POST", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"},
		"to HEAD":         {"HEAD", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\n"},
		"without a body":  {"GET", "HTTP/1.1 204 No Content\r\nX-Id: one\r\nX-Signature: s\r\n\r\n"},
		"to the close":    {"GET", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(test.text) + 1 {
				synctest.Test(t, func(t *testing.T) {
					w := newScriptedWorker(t)
					go func() {
						w.readRequest()
						_, _ = io.WriteString(w.worker, test.text[:length])
						_ = w.worker.Close()
					}()
					m := w.newMessage(t, bodyOf(0), 0, 0)
					m.Method = test.method
					w.pool.idle[0].carriesHead = m.isHead()
					got := w.send(t.Context(), m)
					assert.Equal(t, got.Outcome == Answered, length == len(test.text), "after %d bytes: %s", length, got.Outcome)
					got.Free()
				})
			}
		})
	}
}

// A worker that sent a body without end, which no caller reads, must not make the router hold or read it all.
func TestEndlessBodyOfAnswerIsNotBuffered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("a", 4000)
	for name, test := range map[string]struct {
		beginning, piece string
		want             Outcome
		// maxRead is how many bytes may be read.
		maxRead int
	}{
		"to the close":     {beginning: head + "\r\n", piece: long, want: Answered, maxRead: 2 * testBudget},
		"of huge length":   {beginning: head + "Content-Length: 99999999999\r\n\r\n", piece: long, want: Answered, maxRead: 2 * testBudget},
		"in a huge chunk":  {beginning: head + chunked + "ffffffffff\r\n", piece: long, want: Answered, maxRead: 2 * testBudget},
		"in small chunks":  {beginning: head + chunked, piece: strings.Repeat("1\r\na\r\n", 500), want: Answered, maxRead: 16 * testBudget},
		"a chunk's length": {beginning: head + chunked, piece: strings.Repeat("0", 4000), want: Broken, maxRead: 256 << 10},
		"an extension":     {beginning: head + chunked + "1;", piece: long, want: Broken, maxRead: 256 << 10},
		"a trailer":        {beginning: head + chunked + "0\r\nX-A: ", piece: long, want: Broken, maxRead: 256 << 10},
		"trailers":         {beginning: head + chunked + "0\r\n", piece: strings.Repeat("X-A: a\r\n", 500), want: Broken, maxRead: 256 << 10},
		"of a refusal":     {beginning: "HTTP/1.1 503 X\r\nX-Id: one\r\nX-Not-Run: 1\r\n\r\n", piece: long, want: NotRun, maxRead: 2 * testBudget},
		"of another's":     {beginning: "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", piece: long, want: Broken, maxRead: 2 * maxSurplusBytes},
		"unsigned":         {beginning: "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\n", piece: long, want: Broken, maxRead: 2 * testBudget},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScriptedWorker(t)
				read := make(chan int, 1)
				go func() {
					w.readRequest()
					read <- w.writeRepeatedly(test.beginning, test.piece)
				}()
				got := w.send(t.Context(), w.newMessage(t, bodyOf(0), 0, 0))
				assert.Equal(t, got.Outcome, test.want)
				assert.Assert(t, w.budget.Used() <= testBudget)
				assert.Assert(t, !w.hasIdleConn())
				if got.Stream != nil {
					time.Sleep(time.Second)
					assert.Assert(t, w.budget.Used() <= testBudget)
				}
				got.Free()
				count := <-read
				assert.Assert(t, count <= test.maxRead, "%d bytes read", count)
				synctest.Wait()
				assert.Equal(t, w.budget.Used(), int64(0))
			})
		})
	}
}
