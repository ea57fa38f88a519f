package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/shalefork/shalefork/internal/wire"
)

// rawServer is a server that misbehaves below HTTP: each request is handled on
// the bare connection. It counts the requests that came whole.
type rawServer struct {
	mu      sync.Mutex
	running sync.WaitGroup
	seen    []*http.Request
	// handle answers request number n (from 1) and returns false to close the
	// connection.
	handle func(conn net.Conn, request *http.Request, n int) bool
}

func (c *cell) raw(address string, server *rawServer) *rawServer {
	listener, err := c.network.Listen("tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	server.running.Go(func() { server.run(listener) })
	c.stops = append(c.stops, func() {
		_ = listener.Close()
		server.running.Wait()
	})
	return server
}

func (s *rawServer) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.serve(conn) })
	}
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.URL.Path == pathHealth {
			writeReply(conn, "", "", 0)
			continue
		}
		s.mu.Lock()
		s.seen = append(s.seen, request)
		n := len(s.seen)
		s.mu.Unlock()
		if !s.handle(conn, request, n) {
			return
		}
	}
}

func (s *rawServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// writeReply writes an answer with the id and the body, of which the header claims
// extra bytes more than come.
func writeReply(conn net.Conn, id, body string, extra int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		wire.HeaderRequestID, id, len(body)+extra, body)
}

// idOf is the id that a server must echo.
func idOf(request *http.Request) string {
	return request.Header.Get(wire.HeaderRequestID)
}
