package worker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gate is open unless the worker is frozen.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{}
	until  time.Time
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{thawed: opened}
}

// freeze closes the gate for d, or for longer if it is closed already.
func (g *gate) freeze(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := time.Now().Add(d)
	if until.Before(g.until) {
		return
	}
	if !time.Now().Before(g.until) {
		g.thawed = make(chan struct{})
	}
	g.until = until
	time.AfterFunc(d, g.thaw)
}

// thaw opens the gate once the latest freeze is over.
func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.until) {
		return
	}
	select {
	case <-g.thawed:
	default:
		close(g.thawed)
	}
}

// wait returns at once unless the worker is frozen.
func (g *gate) wait() {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	<-thawed
}

// listener limits the connections, and passes no byte while the gate is closed.
type listener struct {
	net.Listener
	gate  *gate
	limit func() int
	open  atomic.Int64
}

// Accept returns the next connection within the limit. Those above it are
// closed at once, as a full server does.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.gate.wait()
		if l.open.Add(1) > int64(l.limit()) {
			l.open.Add(-1)
			_ = accepted.Close()
			continue
		}
		return &connection{Conn: accepted, listener: l}, nil
	}
}

// connection waits at the gate before each byte in or out.
type connection struct {
	net.Conn
	listener *listener
	once     sync.Once
}

// Read reads, then waits at the gate.
func (c *connection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.listener.gate.wait()
	return count, err
}

// Write waits at the gate, then writes.
func (c *connection) Write(data []byte) (int, error) {
	c.listener.gate.wait()
	return c.Conn.Write(data)
}

// Close closes the connection and makes room for another.
func (c *connection) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
