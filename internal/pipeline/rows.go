// Package pipeline lets requests that a caller sends on one connection before the first of them is
// answered run side by side. Their answers leave in the order of the requests.
//
// net/http's server reads a connection's next request once the one before is answered. It keeps
// doing that: Rows give it connections which hand it one request at a time, and run those
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
	Held int64
	// Beside reports whether a request may run before those ahead of it are answered.
	Beside func(*http.Request) bool
}

// Rows are the requests behind others of all connections that a server accepts.
type Rows struct {
	limits  Limits
	handler http.Handler
	// behind is how many requests run behind others, and held how many bytes of answers wait.
	behind, held atomic.Int64
	// served counts the requests that have run behind others.
	served   atomic.Uint64
	stopping atomic.Bool
}

// New returns rows of requests that a handler serves.
func New(handler http.Handler, limits Limits) *Rows {
	return &Rows{handler: handler, limits: limits}
}

// listener accepts connections whose requests may run side by side.
type listener struct {
	net.Listener
	rows *Rows
}

// Listen returns a listener over another that accepts the connections for a server that the rows
// are attached to.
func (r *Rows) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, rows: r}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(accepted, l.rows), nil
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// Attach makes a server serve the connections.
func (r *Rows) Attach(server *http.Server) {
	server.Handler = http.HandlerFunc(r.serveFirst)
	server.ConnState = r.stateChanged
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
}

// Stop lets no more requests run behind others.
func (r *Rows) Stop() { r.stopping.Store(true) }

// Behind returns how many requests run behind others.
func (r *Rows) Behind() int {
	return int(r.behind.Load())
}

// Served returns how many requests have run behind others.
func (r *Rows) Served() uint64 {
	return r.served.Load()
}

// stateChanged tells a connection that net/http has answered its request.
func (r *Rows) stateChanged(of net.Conn, state http.ConnState) {
	if one, ours := of.(*conn); ours && state == http.StateIdle {
		one.answeredFirst()
	}
}

// serveFirst serves a request that net/http has read.
func (r *Rows) serveFirst(writer http.ResponseWriter, request *http.Request) {
	if one, ours := request.Context().Value(connKey{}).(*conn); ours {
		writer = &firstWriter{ResponseWriter: writer, of: one}
	}
	r.handler.ServeHTTP(writer, request)
}

// admit takes a place for one more request behind others; false if there is none.
func (r *Rows) admit() bool {
	if r.stopping.Load() {
		return false
	}
	if r.behind.Add(1) > int64(r.limits.Total) {
		r.behind.Add(-1)
		return false
	}
	r.served.Add(1)
	return true
}

// hold takes room for bytes of an answer that waits; false if there is none.
func (r *Rows) hold(bytes int) bool {
	if r.held.Add(int64(bytes)) > r.limits.Held {
		r.held.Add(-int64(bytes))
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
