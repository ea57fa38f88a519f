package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// pipeNetwork carries TCP-like connections in memory, so that sessions run in
// virtual time. Addresses can be cut off from all others.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cut       map[string]bool
	// apart holds the pairs of addresses that refuse each other at once.
	apart map[[2]string]bool
	open  map[string][]net.Conn
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{
		listeners: map[string]*pipeListener{},
		cut:       map[string]bool{},
		apart:     map[[2]string]bool{},
		open:      map[string][]net.Conn{},
	}
}

// pipeListener is a net.Listener of the network.
type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (n *pipeNetwork) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return l }

func (l *pipeListener) Network() string { return "pipe" }

func (l *pipeListener) String() string { return l.address }

// transport returns the HTTP client side of the process at an address.
func (n *pipeNetwork) transport(from string) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			return n.dial(ctx, from, to)
		},
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

// dialTimeout is how long a dial into a partition waits.
const dialTimeout = time.Second

var errUnreachable = errors.New("unreachable")

func (n *pipeNetwork) dial(ctx context.Context, from, to string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n.mu.Lock()
	listener := n.listeners[to]
	blocked := n.cut[from] || n.cut[to]
	if n.apart[[2]string{from, to}] {
		listener = nil
	}
	n.mu.Unlock()
	if blocked {
		<-ctx.Done() // a partition answers nothing
		return nil, ctx.Err()
	}
	if listener == nil {
		return nil, errUnreachable
	}
	client, server := net.Pipe()
	select {
	case listener.conns <- server:
	case <-listener.closed:
		return nil, errUnreachable
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.open[from] = append(n.open[from], client)
	n.open[to] = append(n.open[to], client)
	n.mu.Unlock()
	return client, nil
}

// isolate cuts an address off and breaks its connections.
func (n *pipeNetwork) isolate(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
	for _, conn := range n.open[address] {
		conn.Close()
	}
	delete(n.open, address)
}

// separate cuts an address off from some others only.
func (n *pipeNetwork) separate(address string, others []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range others {
		n.apart[[2]string{address, other}] = true
		n.apart[[2]string{other, address}] = true
	}
	for _, conn := range n.open[address] {
		conn.Close()
	}
	delete(n.open, address)
}

// closeAll breaks every connection.
func (n *pipeNetwork) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conns := range n.open {
		for _, conn := range conns {
			conn.Close()
		}
	}
}
