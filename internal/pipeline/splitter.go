// Package pipeline runs pipelined HTTP/1.1 requests concurrently, that is requests that a client
// sends on one connection before an earlier one is answered. Responses are sent in the order of the
// requests.
//
// net/http's server reads the next request of a connection only after it has answered the previous
// one. This does not change: the connections of a Splitter pass it one request at a time. Requests
// that arrive behind it are run by the Splitter with the same handler, as long as they consist of a
// head only and may run concurrently with others. All other requests wait for net/http.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Limits are the limits of pipelined requests, that is of those behind a connection's first
// unanswered one.
type Limits struct {
	// Depth is the maximum number of pipelined requests of one connection that run at a time, and
	// Total that of all connections.
	Depth, Total int
	// BufferedBytes is the maximum number of bytes of responses, of all connections together, that
	// are buffered until it is their turn.
	BufferedBytes int64
	// UnreadBytes is the number of bytes of requests that can't run yet, of all connections together,
	// beyond which connections are read no further than their first byte behind a request. Zero means no
	// limit.
	UnreadBytes int64
	// MayRunConcurrently reports whether a request may run before earlier ones of its connection
	// are answered.
	MayRunConcurrently func(*http.Request) bool
}

// Splitter splits off and runs the pipelined requests of all connections of a server. It is safe
// for concurrent use.
type Splitter struct {
	limits  Limits
	handler http.Handler
	// running is the number of pipelined requests that run, and bufferedBytes the number of bytes
	// of responses that wait for their turn.
	running, bufferedBytes atomic.Int64
	// unreadBytes is the number of bytes of requests that can't run yet.
	unreadBytes atomic.Int64
	// served counts the pipelined requests that were started.
	served   atomic.Uint64
	stopping atomic.Bool
}

// New returns a Splitter that serves requests with a handler.
func New(handler http.Handler, limits Limits) *Splitter {
	return &Splitter{handler: handler, limits: limits}
}

// listener accepts connections whose pipelined requests may run concurrently.
type listener struct {
	net.Listener
	splitter *Splitter
}

// Listen wraps a listener. The returned listener accepts connections for a server to which the
// Splitter is attached.
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

// connKey is the context key of a request's connection.
type connKey struct{}

// Attach configures a server to serve connections accepted by the Splitter's listener.
func (s *Splitter) Attach(server *http.Server) {
	server.Handler = http.HandlerFunc(s.serveFromServer)
	server.ConnState = s.onStateChange
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
}

// Stop prevents further pipelined requests from being run concurrently.
func (s *Splitter) Stop() { s.stopping.Store(true) }

// Running returns the number of pipelined requests that are running.
func (s *Splitter) Running() int {
	return int(s.running.Load())
}

// Served returns the number of pipelined requests that were started.
func (s *Splitter) Served() uint64 {
	return s.served.Load()
}

// onStateChange notifies a connection that net/http has answered its request.
func (s *Splitter) onStateChange(accepted net.Conn, state http.ConnState) {
	if c := unwrap(accepted); c != nil && state == http.StateIdle {
		c.serverIdle()
	}
}

// serveFromServer serves a request that net/http has read.
func (s *Splitter) serveFromServer(writer http.ResponseWriter, request *http.Request) {
	served, _ := request.Context().Value(connKey{}).(net.Conn)
	if c := unwrap(served); c != nil {
		c.serverBegins(s.mayRunConcurrently(request))
		writer = &serverWriter{ResponseWriter: writer, conn: c}
	}
	s.handler.ServeHTTP(writer, request)
}

// unwrap returns the Splitter's connection that a connection wraps, or nil if there is none.
func unwrap(served net.Conn) *conn {
	for served != nil {
		if c, ok := served.(*conn); ok {
			return c
		}
		wrapper, ok := served.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		served = wrapper.NetConn()
	}
	return nil
}

// unreadFull reports whether the connections together buffer as much as they may.
func (s *Splitter) unreadFull() bool {
	return s.limits.UnreadBytes > 0 && s.unreadBytes.Load() >= s.limits.UnreadBytes
}

// mayRunConcurrently reports whether a request may run beside others of its connection: it is a GET or
// HEAD without a body, which change no state, and Limits.MayRunConcurrently permits it.
func (s *Splitter) mayRunConcurrently(request *http.Request) bool {
	safe := request.Method == http.MethodGet || request.Method == http.MethodHead
	return safe && request.ContentLength == 0 && request.Host != "" && s.limits.MayRunConcurrently(request)
}

// admit counts one more running pipelined request. It returns false if the limit is reached or the
// Splitter was stopped.
func (s *Splitter) admit() bool {
	if s.stopping.Load() || !addWithin(&s.running, 1, int64(s.limits.Total)) {
		return false
	}
	s.served.Add(1)
	return true
}

// reserveBuffer reserves memory to buffer data of a response. It returns false if the limit is
// reached.
func (s *Splitter) reserveBuffer(bytes int) bool {
	return addWithin(&s.bufferedBytes, int64(bytes), s.limits.BufferedBytes)
}

// addWithin adds to a counter, unless it would exceed a limit. The counter is never above the limit, also
// for a moment.
func addWithin(counter *atomic.Int64, delta, limit int64) bool {
	for {
		current := counter.Load()
		if current+delta > limit {
			return false
		}
		if counter.CompareAndSwap(current, current+delta) {
			return true
		}
	}
}

// serverWriter is the response writer of a request that net/http has read.
type serverWriter struct {
	http.ResponseWriter
	conn  *conn
	begun bool
}

// Unwrap returns net/http's writer, for http.ResponseController.
func (w *serverWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *serverWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beginResponse()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *serverWriter) Write(body []byte) (int, error) {
	w.beginResponse()
	return w.ResponseWriter.Write(body)
}

// beginResponse removes a Connection: close header if other responses follow.
func (w *serverWriter) beginResponse() {
	if w.begun {
		return
	}
	w.begun = true
	header := w.Header()
	if hasConnectionClose(header) && !w.conn.mayClose(nil) {
		header.Del("Connection")
	}
}
