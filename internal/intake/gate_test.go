package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// testConn returns a connection of a gate, and the peer's side.
func testConn(g *Gate) (*Conn, net.Conn) {
	near, far := net.Pipe()
	return g.admit(near, time.Now()), far
}

// receive makes a connection receive data from its peer.
func receive(t *testing.T, c *Conn, far net.Conn, data string) {
	t.Helper()
	go func() { _, _ = io.WriteString(far, data) }()
	_, err := io.ReadFull(c, make([]byte, len(data)))
	assert.NilError(t, err)
}

func TestLeastUsefulConnectionMakesRoom(t *testing.T) {
	const conns = 3
	for name, test := range map[string]struct {
		act  func(t *testing.T, list []*Conn)
		want int // the connection that is closed; -1 if the new one is
	}{
		"oldest silent one": {want: 0},
		"silent one before one that was used": {act: func(_ *testing.T, list []*Conn) {
			list[0].BeginHandling()
			list[0].EndHandling()
		}, want: 1},
		"one whose last message is the longest ago": {act: func(_ *testing.T, list []*Conn) {
			for _, index := range []int{2, 0, 1} {
				list[index].BeginHandling()
				time.Sleep(time.Second)
				list[index].EndHandling()
			}
		}, want: 2},
		"not one that is in use": {act: func(_ *testing.T, list []*Conn) { list[0].BeginHandling() }, want: 1},
		"the new one if all are in use": {act: func(_ *testing.T, list []*Conn) {
			for _, c := range list {
				c.BeginHandling()
			}
		}, want: -1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewGate(Limits{Conns: conns, Bytes: 1000})
				refused := 0
				g.OnRefused = func(Reason) { refused++ }
				var list []*Conn
				for range conns {
					c, _ := testConn(g)
					list = append(list, c)
					time.Sleep(time.Millisecond)
				}
				time.Sleep(2 * settleTime)
				if test.act != nil {
					test.act(t, list)
				}
				added, _ := testConn(g)
				assert.Equal(t, added == nil, test.want < 0)
				for index, c := range list {
					assert.Equal(t, c.closed, index == test.want, "connection %d", index)
				}
				assert.Equal(t, g.Conns(), conns)
				assert.Equal(t, refused, 1)
				assert.Equal(t, g.Refused(TooManyConns), uint64(1))
			})
		})
	}
}

// A client that has just connected must not lose its place to idle connections.
func TestNewConnectionIsKeptForItsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{Conns: 2, Bytes: 1000})
		idle, _ := testConn(g)
		idle.BeginHandling()
		idle.EndHandling()
		time.Sleep(time.Second)
		fresh, _ := testConn(g)
		testConn(g)
		assert.Assert(t, idle.closed)
		assert.Assert(t, !fresh.closed)
	})
}

func TestLargestUnfinishedMessageIsClosed(t *testing.T) {
	g := NewGate(Limits{Conns: 10, Bytes: 1000})
	small, smallPeer := testConn(g)
	large, largePeer := testConn(g)
	used, usedPeer := testConn(g)
	receive(t, small, smallPeer, strings.Repeat("a", 100))
	receive(t, used, usedPeer, strings.Repeat("a", 600))
	used.BeginHandling()
	receive(t, large, largePeer, strings.Repeat("a", 290))
	assert.Equal(t, g.Held(), int64(990))
	receive(t, used, usedPeer, strings.Repeat("a", 500)) // a body, which is counted elsewhere
	assert.Assert(t, !large.closed)
	receive(t, small, smallPeer, strings.Repeat("a", 20))
	assert.Assert(t, large.closed)
	assert.Assert(t, !small.closed && !used.closed)
	assert.Equal(t, g.Refused(TooManyBytes), uint64(1))
	used.EndHandling()
	assert.Equal(t, g.Held(), int64(120))
	_ = small.Close()
	_ = used.Close()
	_ = used.Close()
	assert.Equal(t, g.Held(), int64(0))
	assert.Equal(t, g.Conns(), 0)
}

// Short lines take several times their bytes once they are parsed.
func TestLinesOfUnfinishedMessagesCount(t *testing.T) {
	g := NewGate(Limits{Conns: 10, Bytes: 10_000})
	c, far := testConn(g)
	receive(t, c, far, strings.Repeat("a:\r\n", 10))
	assert.Equal(t, g.Held(), int64(10*(4+lineCost)))
}

// Many readers at once must not go on reading while room is made.
func TestReadersTogetherStayWithinTheLimit(t *testing.T) {
	const conns, piece, limit = 200, 1000, 20_000
	g := NewGate(Limits{Conns: conns, Bytes: limit})
	var readers sync.WaitGroup
	for range conns {
		c, far := testConn(g)
		go func() {
			for range 100 {
				if _, err := io.WriteString(far, strings.Repeat("a", piece)); err != nil {
					return
				}
			}
		}()
		readers.Go(func() {
			data := make([]byte, piece)
			for {
				if _, err := c.Read(data); err != nil {
					return
				}
				if held := g.Held(); held > limit+conns*piece {
					t.Errorf("%d bytes held", held)
				}
			}
		})
		t.Cleanup(func() { _ = far.Close(); _ = c.Close() })
	}
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, g.Held() <= limit, "%d bytes held", g.Held())
	g.mu.Lock()
	open := len(g.conns)
	for c := range g.conns {
		_ = c.Conn.Close()
	}
	g.mu.Unlock()
	readers.Wait()
	assert.Assert(t, open <= limit/piece)
}

// The server reports a request as soon as its head is complete, and its end.
func TestServerReportsRequestsToGate(t *testing.T) {
	g := NewGate(Limits{Conns: 2, Bytes: 10_000})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	inUse := make(chan int64, 1)
	states := make(chan http.ConnState, 10)
	server := &http.Server{
		Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) { inUse <- g.Held() }),
		ConnState: func(_ net.Conn, state http.ConnState) { states <- state },
	}
	g.Attach(server)
	go func() { _ = server.Serve(g.Listen(Persistent(inner))) }()
	t.Cleanup(func() { _ = server.Close() })
	response, err := http.Get("http://" + inner.Addr().String())
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Assert(t, <-inUse > 0, "the request is held while it is handled")
	for _, want := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
		assert.Equal(t, <-states, want)
	}
	assert.Equal(t, g.Held(), int64(0))
}

func TestAcceptFailsOnlyOnceClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := Persistent(inner)
	time.AfterFunc(20*time.Millisecond, func() { _ = listener.Close() })
	_, err = listener.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}

// A request that was complete just as its connection was chosen to be closed must not run, and a connection
// whose request runs must not be closed.
func TestRequestRunsOrItsConnectionIsClosed(t *testing.T) {
	g := NewGate(Limits{Conns: 2, Bytes: 10_000})
	ran := 0
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ })}
	g.Attach(server)
	serve := func(c *Conn) (recovered any) {
		defer func() { recovered = recover() }()
		server.ConnState(c, http.StateActive)
		request := httptest.NewRequestWithContext(server.ConnContext(t.Context(), c), http.MethodGet, "/", nil)
		server.Handler.ServeHTTP(httptest.NewRecorder(), request)
		return nil
	}
	used, _ := testConn(g)
	assert.Equal(t, serve(used), nil)
	assert.Assert(t, !used.refuse())
	assert.Equal(t, ran, 1)
	closed, _ := testConn(g)
	assert.Assert(t, closed.refuse())
	assert.Equal(t, serve(closed), any(http.ErrAbortHandler))
	assert.Equal(t, ran, 1)
}

// Whoever has long requests in progress must not keep all others from sending theirs.
func TestShortMessagesAreReceivedWhileLongOnesAreHandled(t *testing.T) {
	g := NewGate(Limits{Conns: 10, Bytes: 1000})
	for range 2 {
		long, peer := testConn(g)
		receive(t, long, peer, strings.Repeat("a", 500))
		long.BeginHandling()
	}
	short, shortPeer := testConn(g)
	receive(t, short, shortPeer, strings.Repeat("a", 90))
	assert.Assert(t, !short.closed)
	long, longPeer := testConn(g)
	receive(t, long, longPeer, strings.Repeat("a", 110))
	assert.Assert(t, long.closed)
	assert.Assert(t, !short.closed)
}
