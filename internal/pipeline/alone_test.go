package pipeline

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fault: once net/http had read a request that must run alone, those behind it were
// run beside it. A body that its handler reads at once hid it from the test above.
func TestRequestsBehindOneThatRunsAloneWait(t *testing.T) {
	for name, first := range map[string]string{
		"a body that is read at once": "POST /alone HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"a route that runs alone":     get("/alone"),
	} {
		t.Run(name, func(t *testing.T) {
			var alone, beside atomic.Bool
			limits := defaultLimits
			limits.MayRunConcurrently = func(request *http.Request) bool { return request.URL.Path != "/alone" }
			s := serve(t, limits, func(writer http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				if request.URL.Path == "/alone" {
					alone.Store(true)
					time.Sleep(50 * time.Millisecond)
					alone.Store(false)
				} else if alone.Load() {
					beside.Store(true)
				}
				echo(writer, request)
			})
			c := s.dial(t)
			c.send(t, first, get("/2"), get("/3"))
			for _, want := range []string{"/alone", "/2", "/3"} {
				body, _ := c.readResponse(t)
				assert.Equal(t, body, want)
			}
			assert.Assert(t, !beside.Load(), "another request ran beside it")
		})
	}
}
