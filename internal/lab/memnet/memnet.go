// Package memnet is a network in memory for tests: connections that behave like
// TCP ones, in virtual time inside a testing/synctest bubble, with cuts, delays
// and frozen processes.
//
// A place is a whole address ("10.0.0.1:7000") or a host ("10.0.0.1"), which
// stands for all of its addresses. It is for tests only.
package memnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Place is an address "host:port" or a host.
type Place string

// backlog is how many connections wait to be accepted at an address.
const backlog = 128

// ErrCut is the failure of a dial into a partition, as after a lost SYN.
var ErrCut = errors.New("memnet: no answer")

// Network carries connections. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[Place]bool
	// refusing places answer dials with ECONNREFUSED until then.
	refusing map[Place]time.Time
	apart    map[pair]bool
	// rejecting pairs are apart, and dials between them fail at once.
	rejecting map[pair]bool
	delays    map[Place]time.Duration
	gates     map[Place]*gate
	open      map[*connection]struct{}
}

// pair holds two places that do not reach each other.
type pair struct{ from, to Place }

// New returns a network on which every address reaches every other.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		cut:       map[Place]bool{},
		refusing:  map[Place]time.Time{},
		apart:     map[pair]bool{},
		rejecting: map[pair]bool{},
		delays:    map[Place]time.Duration{},
		gates:     map[Place]*gate{},
		open:      map[*connection]struct{}{},
	}
}

// host returns the place that stands for all addresses of an address's host.
func host(address string) Place {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return Place(address)
	}
	return Place(name)
}

// places returns the names under which an address can be meant.
func places(address string) []Place {
	return []Place{Place(address), host(address)}
}

// Dialer returns the dial function of the process at an address or host. A dial
// whose packets get lost fails after timeout.
func (n *Network) Dialer(from string, timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.dial(limited, from, to)
	}
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.gateOf(from).wait()
	target, err := n.reach(from, to)
	if errors.Is(err, ErrCut) {
		<-ctx.Done() // nothing answers
	}
	if err != nil {
		return nil, err
	}
	client, server := n.connect(from, to)
	if !target.offer(server) {
		_ = client.Close()
		_ = server.Close()
		return nil, syscall.ECONNREFUSED
	}
	return client, nil
}

// reach returns the listener at an address, or why a dial fails.
func (n *Network) reach(from, to string) (*listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, target := range places(to) {
		if time.Now().Before(n.refusing[target]) {
			return nil, syscall.ECONNREFUSED
		}
	}
	if n.rejected(from, to) {
		return nil, syscall.ECONNREFUSED
	}
	if n.separated(from, to) {
		return nil, ErrCut
	}
	found := n.listeners[to]
	if found == nil {
		return nil, syscall.ECONNREFUSED
	}
	return found, nil
}

// separated reports whether packets between two addresses get lost. Called with
// the lock held.
func (n *Network) separated(from, to string) bool {
	for _, near := range places(from) {
		for _, far := range places(to) {
			if n.cut[near] || n.cut[far] || n.apart[pair{near, far}] {
				return true
			}
		}
	}
	return false
}

// Listen opens an address. A second call takes the address over, as a process
// that starts again does.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	return n.Open(address), nil
}

// Open is Listen without a failure.
func (n *Network) Open(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	opened := &listener{
		network:  n,
		address:  address,
		accepted: make(chan net.Conn, backlog),
		closed:   make(chan struct{}),
	}
	n.listeners[address] = opened
	return opened
}

// listener is a net.Listener of the network.
type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}

	mu   sync.Mutex
	done bool
}

// offer puts a connection into the backlog and reports whether it was taken.
func (l *listener) offer(server net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return false
	}
	select {
	case l.accepted <- server:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.accepted:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were not accepted are broken.
func (l *listener) Close() error {
	l.network.forget(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return nil
	}
	l.done = true
	close(l.closed)
	for {
		select {
		case waiting := <-l.accepted:
			_ = waiting.Close()
		default:
			return nil
		}
	}
}

func (n *Network) forget(gone *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[gone.address] == gone {
		delete(n.listeners, gone.address)
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is a net.Addr.
type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// rejected reports whether dials between two addresses fail at once; the caller
// holds the lock.
func (n *Network) rejected(from, to string) bool {
	for _, near := range places(from) {
		for _, far := range places(to) {
			if n.rejecting[pair{near, far}] {
				return true
			}
		}
	}
	return false
}
