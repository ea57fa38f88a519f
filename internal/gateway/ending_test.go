package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// The end of a body that only the end of the connection marks cannot be told
// from a cut, so such an answer is not passed on as a whole one.
func TestAnswerWithoutAnEndIsUnknown(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Switching Protocols"} {
		t.Run(head, func(t *testing.T) {
			inCell(t, func(c *cell) {
				server := c.raw("w1:1", &rawServer{handle: func(conn net.Conn, request *http.Request, _ int) bool {
					_, _ = fmt.Fprintf(conn, "%s\r\n%s: %s\r\n\r\nhalf of it", head, wire.HeaderRequestID, idOf(request))
					return false
				}})
				c.gateway("g1")
				c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
				c.ask("POST", "/book/r7", "x").refused(t, 502, wire.OutcomeUnknown, wire.ReasonAnswerLost)
				assert.Equal(t, server.count(), 1)
			})
		})
	}
}

// Answers that have no body need no length.
func TestAnswerWithoutABodyIsWhole(t *testing.T) {
	cases := []struct{ method, head string }{{"HEAD", "200 OK"}, {"POST", "204 No Content"}, {"GET", "304 Not Modified"}}
	inCell(t, func(c *cell) {
		c.raw("w1:1", &rawServer{handle: func(conn net.Conn, request *http.Request, n int) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n\r\n", cases[n-1].head, wire.HeaderRequestID, idOf(request))
			return true
		}})
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		for _, test := range cases {
			got := c.ask(test.method, "/book/r7", "")
			assert.NilError(t, got.err)
			assert.Equal(t, got.outcome, wire.Outcome(""))
		}
	})
}

// A caller of HTTP/1.0 knows the end of an answer of undeclared length by the
// end of the connection only, so that one which is cut has to be reset.
func TestShortAnswerBreaksVisiblyForHTTP10(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	response := &http.Response{StatusCode: 200, ContentLength: -1, Header: http.Header{}}
	response.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	gateway := &Gateway{metrics: NewMetrics(prometheus.NewRegistry())}
	server := gateway.newServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		got := &reply{response: response, finish: func() {}}
		gateway.passOn(writer, &call{request: request, limit: time.Minute}, got, func() {})
	}))
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	text, err := io.ReadAll(conn)
	assert.Assert(t, err != nil, "the answer ended as if it were whole: %q", text)
}
