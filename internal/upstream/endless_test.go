package upstream

import (
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
