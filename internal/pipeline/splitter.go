// Package pipeline lets requests that a caller sends on one connection before the first of them is
// answered run side by side. Their answers leave in the order of the requests.
//
// net/http's server reads a connection's next request once the one before is answered. It keeps
// doing that: a Splitter gives it connections which hand it one request at a time, and runs those
// that come behind it themselves, by the same handler, for as long as they are nothing but a head
// and may run beside others. Everything else waits for its turn at net/http.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Limits bound what runs behind the first requests of connections.
type Limits struct {
	// Depth is how many requests of one connection may run behind its first, and Total those of
	// all connections.
	Depth, Total int
	// Held is how many bytes of all answers are kept until it is their turn.
	BufferedBytes int64
	// Beside reports whether a request may run before those ahead of it are answered.
	MayRunConcurrently func(*http.Request) bool
}

// Splitter splits off the requests that come behind others, on all connections of a server. It is
// safe for concurrent use.
type Splitter struct {
	limits  Limits
	handler http.Handler
	// behind is how many requests run behind others, and held how many bytes of answers wait.
	behind, held atomic.Int64
	// served counts the requests that have run behind others.
	served   atomic.Uint64
	stopping atomic.Bool
}

// New returns a splitter of requests that a handler serves.
func New(handler http.Handler, limits Limits) *Splitter {
	return &Splitter{handler: handler, limits: limits}
}

// listener accepts connections whose requests may run side by side.
type listener struct {
	net.Listener
	splitter *Splitter
}

// Listen returns a listener over another that accepts the connections for a server that the splitter
// is attached to.
func (s *Splitter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, splitter: s}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(accepted, l.splitter), nil
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// Attach makes a server serve the connections.
func (s *Splitter) Attach(server *http.Server) {
	server.Handler = http.HandlerFunc(s.serveFirst)
	server.ConnState = s.stateChanged
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
}

// Stop lets no more requests run behind others.
func (s *Splitter) Stop() { s.stopping.Store(true) }

// Behind returns how many requests run behind others.
func (s *Splitter) Running() int {
	return int(s.behind.Load())
}

// Served returns how many requests have run behind others.
func (s *Splitter) Served() uint64 {
	return s.served.Load()
}

// stateChanged tells a connection that net/http has answered its request.
func (s *Splitter) stateChanged(of net.Conn, state http.ConnState) {
	if one, ours := of.(*conn); ours && state == http.StateIdle {
		one.answeredFirst()
	}
}

// serveFirst serves a request that net/http has read.
func (s *Splitter) serveFirst(writer http.ResponseWriter, request *http.Request) {
	if one, ours := request.Context().Value(connKey{}).(*conn); ours {
		writer = &firstWriter{ResponseWriter: writer, of: one}
	}
	s.handler.ServeHTTP(writer, request)
}

// admit takes a place for one more request behind others; false if there is none.
func (s *Splitter) admit() bool {
	if s.stopping.Load() {
		return false
	}
	if s.behind.Add(1) > int64(s.limits.Total) {
		s.behind.Add(-1)
		return false
	}
	s.served.Add(1)
	return true
}

// hold takes room for bytes of an answer that waits; false if there is none.
func (s *Splitter) hold(bytes int) bool {
	if s.held.Add(int64(bytes)) > s.limits.BufferedBytes {
		s.held.Add(-int64(bytes))
		return false
	}
	return true
}

// firstWriter is the writer of a request that net/http has read.
type firstWriter struct {
	http.ResponseWriter
	of    *conn
	begun bool
}

// Unwrap lets http.ResponseController find net/http's own writer.
func (w *firstWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *firstWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *firstWriter) Write(body []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(body)
}

// begin decides whether the answer closes the connection.
func (w *firstWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	header := w.Header()
	if closes(header) && !w.of.mayClose(nil) {
		header.Del("Connection")
	}
}
