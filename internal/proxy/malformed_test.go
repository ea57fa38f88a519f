package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller's request may be retried at every router, so that one that crashes a router could crash
// all of them.
func TestMalformedRequestsDoNotCrashRouter(t *testing.T) {
	tests := map[string]struct {
		path    string
		headers []string
	}{
		"deadline is not a number":   {path: "/safe/", headers: []string{"X-Deadline", "NaN"}},
		"infinite deadline":          {path: "/safe/", headers: []string{"X-Deadline", "Inf"}},
		"very long deadline":         {path: "/safe/", headers: []string{"X-Deadline", "1e300"}},
		"deadline of zero":           {path: "/safe/", headers: []string{"X-Deadline", "0"}},
		"negative key":               {path: "/keyed/", headers: []string{"X-Key", "-1"}},
		"key too large":              {path: "/keyed/", headers: []string{"X-Key", "99999999999999999999"}},
		"no id":                      {path: "/safe/", headers: []string{"X-Id", ""}},
		"path with escapes":          {path: "/safe/%00%ff%2f..%2f"},
		"query with separators only": {path: "/safe/?&&=;%%"},
		"two body lengths":           {path: "/unsafe/", headers: []string{"Content-Length", "7"}},
		"worker headers from caller": {path: "/safe/", headers: []string{"X-Load", "1,2,0", "X-Not-Run", "1", "X-Target", "other"}},
	}
	malformedHeaders := []string{"X-Load: -1,99999999999,0", "Keep-Alive: timeout=99999999999999999", "Retry-After: -1"}
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusOK, "x", malformedHeaders...)
		return true
	})
	entry := w.entry("pool")
	f := newTestProxy(t, entry)
	f.assignAllKeys(entry)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response, err := http.DefaultClient.Do(f.request(t, "GET", test.path, "", test.headers...))
			if err == nil {
				_ = response.Body.Close()
			}
			after, body := f.get(t, "GET", "/safe/", "")
			assert.Equal(t, after.StatusCode, http.StatusOK)
			assert.Equal(t, body, "x")
		})
	}
}

// A copy of a request runs in another goroutine than the handler. A panic there must reach the
// handler, where it aborts the caller's connection but does not terminate the process.
func TestPanicInCopyAbortsOnlyItsRequest(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	f.get(t, "GET", "/safe/", "")
	list, _ := f.directory.Usable("pool")
	broken := f.proxy.fleet.get(list[0])
	working := broken.pool
	broken.pool = nil
	_, err := http.DefaultClient.Do(f.request(t, "GET", "/safe/", ""))
	assert.Assert(t, err != nil, "the connection is aborted")
	broken.pool = working
	response, _ := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// A client whose upload stalled, or that closed its connection for writing, got an empty answer with status
// 200, which no worker had sent.
func TestInterruptedClientGetsNoEmptyAnswer(t *testing.T) {
	upload := fmt.Sprintf("POST /up/ HTTP/1.1\r\nHost: app.example\r\nX-Id: long\r\nX-Deadline: 700\r\nContent-Length: %d\r\n\r\n%s",
		2*maxBufferedBody-1, make([]byte, maxBufferedBody+1000))
	for name, test := range map[string]struct {
		sent   string
		closes bool
	}{
		"stalled upload":                {sent: upload},
		"upload closed":                 {sent: upload, closes: true},
		"closed while a worker runs it": {sent: "GET /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: short\r\nX-Deadline: 700\r\n\r\n", closes: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				time.Sleep(200 * time.Millisecond)
				answer(connection, request, http.StatusOK, "late")
				return true
			})
			f := newTestProxy(t, w.entry("pool"))
			connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = connection.Close() })
			_, err = io.WriteString(connection, test.sent)
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
			if test.closes {
				assert.NilError(t, connection.(*net.TCPConn).CloseWrite())
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err == nil {
				assert.Assert(t, response.StatusCode >= 400, "%d", response.StatusCode)
			}
			assert.Assert(t, test.closes || err == nil, "%v", err)
		})
	}
}
