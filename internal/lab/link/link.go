// Package link is a TCP proxy for tests. It injects faults into the connections between two
// processes without changing either process.
package link

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is a fault that a link injects into its connections.
type Fault int

// Faults of connections.
const (
	// NoFault forwards all bytes without delay.
	NoFault Fault = iota
	// Delays forwards all bytes after a delay.
	Delays
	// BlocksTraffic forwards nothing in either direction. Connections stay open, and new ones
	// are accepted but block as well.
	BlocksTraffic
	// BlocksResponses forwards requests but no responses.
	BlocksResponses
	// BlocksRequests forwards responses but no requests.
	BlocksRequests
	// BlocksExisting permanently blocks the connections that are open when the fault is set;
	// new ones work.
	BlocksExisting
	// ResetsConnections resets all open connections and each new one.
	ResetsConnections
	// TruncatesResponses closes connections in the middle of a response.
	TruncatesResponses
)

const (
	// addedDelay is the delay of each forwarded buffer under the fault Delays.
	addedDelay = 100 * time.Millisecond
	// pollInterval is how often a blocked connection checks whether its fault has ended.
	pollInterval = 10 * time.Millisecond
	// bufferSize is the largest number of bytes that are forwarded at once.
	bufferSize = 32 << 10
	// truncatedSize is the number of bytes of a truncated response that are forwarded.
	truncatedSize = 20
)

// Link forwards connections to one address. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	fault    Fault
	// lookUpOrigin returns the origin of a connection, by its client's address and the link's;
	// nil if origins are not looked up.
	lookUpOrigin func(from, to netip.AddrPort) string
	// originFaults are the faults of the connections of each origin. They apply while fault is
	// NoFault.
	originFaults map[string]Fault
	pairs        map[*connPair]struct{}
	closed       bool
	// bandwidths limit requests and responses, by the origin of the connection; nil means no limit.
	bandwidths map[string][2]*Bandwidth
}

// connPair is a client's connection to the link and the link's connection to the server.
type connPair struct {
	client, server net.Conn
	// origin identifies the client; empty if it is unknown.
	origin string
	// stalled reports whether the pair is permanently blocked.
	stalled bool
}

// New listens on one address and forwards connections to another.
func New(listen, target string) (*Link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, pairs: map[*connPair]struct{}{}, originFaults: map[string]Fault{}, bandwidths: map[string][2]*Bandwidth{}}
	go l.accept()
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault changes the fault of all connections, including those that are open.
func (l *Link) SetFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	for pair := range l.pairs {
		switch fault {
		case BlocksExisting:
			pair.stalled = true
		case ResetsConnections:
			pair.reset()
		}
	}
}

// Close stops listening and resets all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.listener.Close()
	for pair := range l.pairs {
		pair.reset()
	}
}

func (p *connPair) reset() {
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(client)
	}
}

func (l *Link) connect(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		pair := &connPair{client: client, server: client}
		pair.reset()
		return
	}
	pair := &connPair{client: client, server: server}
	l.resolveOrigin(pair)
	l.mu.Lock()
	refused := l.closed || l.fault == ResetsConnections
	if !refused {
		l.pairs[pair] = struct{}{}
	}
	l.mu.Unlock()
	if refused {
		pair.reset()
		return
	}
	go l.copyBytes(pair, server, client, false)
	l.copyBytes(pair, client, server, true)
}

// copyBytes copies from one connection of a pair to the other until one of them ends. responses
// tells whether the bytes are responses rather than requests.
func (l *Link) copyBytes(pair *connPair, to, from net.Conn, responses bool) {
	defer l.closePair(pair)
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !l.forward(pair, to, buffer[:count], responses) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes bytes as the pair's fault permits, and waits while it blocks them. It returns
// false once the connection must be closed.
func (l *Link) forward(pair *connPair, to io.Writer, bytes []byte, responses bool) bool {
	for {
		l.mu.Lock()
		fault, stalled, open := l.faultOf(pair), pair.stalled, !l.closed
		_, known := l.pairs[pair]
		l.mu.Unlock()
		switch {
		case !open || !known || fault == ResetsConnections:
			return false
		case stalled, fault == BlocksTraffic, fault == BlocksResponses && responses, fault == BlocksRequests && !responses:
			time.Sleep(pollInterval)
			continue
		case fault == Delays:
			time.Sleep(addedDelay)
		case fault == TruncatesResponses && responses:
			_, _ = to.Write(bytes[:min(truncatedSize, len(bytes))])
			return false
		}
		l.awaitBandwidth(pair, len(bytes), responses)
		_, err := to.Write(bytes)
		return err == nil
	}
}

// closePair closes both connections of a pair.
func (l *Link) closePair(pair *connPair) {
	l.mu.Lock()
	delete(l.pairs, pair)
	l.mu.Unlock()
	_ = pair.client.Close()
	_ = pair.server.Close()
}
