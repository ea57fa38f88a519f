package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// network is an in-memory network, so that whole sessions run in virtual time.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	refusing  map[string]time.Time // refused until then
	cut       map[string]bool      // addresses that nobody reaches
	open      map[string][]net.Conn
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, refusing: map[string]time.Time{}, cut: map[string]bool{}, open: map[string][]net.Conn{}}
}

func (n *network) Listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &pipeListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener, nil
}

func (n *network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	refused := time.Now().Before(n.refusing[address]) || n.cut[address]
	n.mu.Unlock()
	if listener == nil || refused {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- far:
		n.mu.Lock()
		n.open[address] = append(n.open[address], far)
		n.mu.Unlock()
		return near, nil
	case <-listener.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refuse makes the network refuse connections to the address for a while.
func (n *network) refuse(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[address] = time.Now().Add(d)
}

// lose makes an address unreachable and breaks its connections.
func (n *network) lose(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
	for _, conn := range n.open[address] {
		_ = conn.Close()
	}
}

// heal makes an address reachable again.
func (n *network) heal(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, address)
}

type pipeListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (a pipeAddr) Network() string { return "pipe" }
func (a pipeAddr) String() string  { return string(a) }
