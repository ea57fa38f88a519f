// Package intake bounds what the peers of a process make it hold: connections, and messages that are not
// complete. Each peer may stay within its own limits, and all of them together still exceed the machine's
// memory or descriptors. What is beyond the limits of all is refused, the least useful first, so that the
// others go on being served.
package intake

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

const (
	// lineCost is the memory in bytes that a short line of a head takes once it is parsed.
	lineCost = 128
	// relievedShare is the share of Limits.Bytes to which unfinished messages are reduced once they
	// exceed it, so that not each byte that follows exceeds it again.
	relievedShare = 0.75
	// settleTime is how long after it was opened a connection without a complete message is taken for
	// one that will not send any.
	settleTime = time.Second
)

// Limits are the limits of all connections of a gate together.
type Limits struct {
	// Conns is the maximum number of connections.
	Conns int
	// Bytes is the size in bytes of messages that are incomplete or being handled, beyond which long ones
	// are not received.
	Bytes int64
}

// Reason is why a gate closes a connection.
type Reason string

// Values of Reason.
const (
	// TooManyConns means that there are more connections than Limits.Conns.
	TooManyConns Reason = "connections"
	// TooManyBytes means that unfinished messages exceed Limits.Bytes.
	TooManyBytes Reason = "bytes"
)

// Gate limits the connections that it accepts. It is safe for concurrent use.
type Gate struct {
	// OnRefused is called with the reason after connections were closed. It may be nil.
	OnRefused func(reason Reason)

	limits Limits
	// held is the sum of the connections' held bytes.
	held                       atomic.Int64
	refusedConns, refusedBytes atomic.Uint64
	mu                         sync.Mutex
	conns                      map[*Conn]struct{}
	relieving                  sync.Mutex
}

// NewGate returns a gate without connections.
func NewGate(limits Limits) *Gate { return &Gate{limits: limits, conns: map[*Conn]struct{}{}} }

// Limits returns the limits of the gate.
func (g *Gate) Limits() Limits { return g.limits }

// Conns returns the number of open connections.
func (g *Gate) Conns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Held returns the size in bytes of the messages that are incomplete or being handled.
func (g *Gate) Held() int64 { return g.held.Load() }

// Refused returns how many connections were closed for a reason.
func (g *Gate) Refused(reason Reason) uint64 {
	if reason == TooManyConns {
		return g.refusedConns.Load()
	}
	return g.refusedBytes.Load()
}

// gateListener accepts the connections of a gate.
type gateListener struct {
	net.Listener
	gate *Gate
}

// Listen returns a listener whose connections are within the gate's limits.
func (g *Gate) Listen(inner net.Listener) net.Listener {
	return &gateListener{Listener: inner, gate: g}
}

// Accept implements net.Listener.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.gate.admit(accepted, clock.Now()); conn != nil {
			return conn, nil
		}
	}
}

// admit adds a connection, for which the least useful one makes room if there are too many. It returns
// nil if all others are in use; the connection is closed then.
func (g *Gate) admit(accepted net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: accepted, gate: g, since: now}
	for {
		g.mu.Lock()
		if len(g.conns) < g.limits.Conns {
			g.conns[c] = struct{}{}
			g.mu.Unlock()
			return c
		}
		worst := g.leastUseful(now)
		g.mu.Unlock()
		if worst == nil {
			_ = accepted.Close()
			g.noteRefused(TooManyConns)
			return nil
		}
		if worst.refuse() { // it may be in use by now
			g.noteRefused(TooManyConns)
		}
	}
}

// leastUseful returns the connection that is closed first, or nil if all handle messages: one that has
// sent no complete message for settleTime, then the one whose last message is the longest ago, then one
// that was just opened. The caller holds mu.
func (g *Gate) leastUseful(now time.Time) *Conn {
	var worst *Conn
	var worstRank usefulness
	for c := range g.conns {
		rank, mayClose := c.usefulness(now)
		if mayClose && (worst == nil || rank.compare(worstRank) < 0) {
			worst, worstRank = c, rank
		}
	}
	return worst
}

// relieve closes the connections that hold the most bytes of unfinished messages, until relievedShare of
// the limit is held. Connections whose messages are being handled are kept. Whoever exceeds the limit waits
// here, so that all readers together exceed it by one read each at most.
func (g *Gate) relieve() {
	g.relieving.Lock()
	defer g.relieving.Unlock()
	if g.held.Load() <= g.limits.Bytes {
		return
	}
	target := int64(relievedShare * float64(g.limits.Bytes))
	for _, c := range g.largest() {
		if g.held.Load() <= target {
			return
		}
		if c.refuse() {
			g.noteRefused(TooManyBytes)
		}
	}
}

// largest returns the connections with unfinished messages that are not being handled, the largest first.
// Messages within an equal share of the limit are left out: while long messages are being handled, short
// ones are still received. All messages together take twice the limit at most.
func (g *Gate) largest() []*Conn {
	share := g.limits.Bytes / int64(g.limits.Conns)
	g.mu.Lock()
	defer g.mu.Unlock()
	sizes := make(map[*Conn]int64, len(g.conns))
	list := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		if size := c.unfinished(); size > share {
			sizes[c] = size
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *Conn) int { return cmp.Compare(sizes[b], sizes[a]) })
	return list
}

func (g *Gate) noteRefused(reason Reason) {
	if reason == TooManyConns {
		g.refusedConns.Add(1)
	} else {
		g.refusedBytes.Add(1)
	}
	if g.OnRefused != nil {
		g.OnRefused(reason)
	}
}

func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Attach makes a server report to the gate when it begins and ends to handle a request, in addition to what
// the server's own functions do. Requests of connections that the gate has closed are not handled, since
// nobody would get the response.
func (g *Gate) Attach(server *http.Server) {
	state, connContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(served net.Conn, to http.ConnState) {
		switch to {
		case http.StateActive:
			From(served).BeginHandling()
		case http.StateIdle:
			From(served).EndHandling()
		}
		if state != nil {
			state(served, to)
		}
	}
	server.ConnContext = func(ctx context.Context, served net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, served)
		}
		return context.WithValue(ctx, connKey{}, From(served))
	}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if c, _ := request.Context().Value(connKey{}).(*Conn); c != nil && c.isClosed() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(writer, request)
	})
}

// From returns the gate's connection that a connection wraps, or nil if there is none.
func From(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}

// headBytes returns the memory in bytes that data of a message takes.
func headBytes(data []byte) int64 {
	return int64(len(data) + lineCost*bytes.Count(data, []byte("\n")))
}
