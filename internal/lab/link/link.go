// Package link is a TCP proxy of tests that harms the connections between two processes from
// outside both.
package link

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Harm is what is done to the connections of a link.
type Fault int

// Ways to harm connections.
const (
	// None passes all bytes.
	NoFault Fault = iota
	// Delays passes them later.
	Delays
	// Silences passes nothing either way; connections stay open, and new ones hang as well.
	BlocksTraffic
	// Deafens passes requests and no answers.
	BlocksResponses
	// Mutes passes answers and no requests.
	BlocksRequests
	// Strands silences the connections that there are for good, while new ones work.
	BlocksExisting
	// Resets resets all connections, and each new one.
	ResetsConnections
	// Truncates resets connections in the middle of an answer.
	TruncatesResponses
)

const (
	// delay is by how much bytes are later; wait is the pause between looks whether silence is over.
	delay = 100 * time.Millisecond
	wait  = 10 * time.Millisecond
	// piece is how much is passed at once, and truncated how much of an answer.
	piece     = 32 << 10
	truncated = 20
)

// Link passes connections on to one address. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	harm     Fault
	// origin tells who has made a connection, from and to which address; nil: nobody asks. from are the harms to the
	// connections of each, beside that to all.
	origin func(from, to netip.AddrPort) string
	from   map[string]Fault
	pairs  map[*pair]struct{}
	closed bool
	// rates bound requests and answers, by who has made the connection; nil: nothing does.
	rates map[string][2]*Bandwidth
}

// pair is one connection and its other half.
type pair struct {
	near, far net.Conn
	// origin is who has made it; empty: unknown.
	origin string
	// stranded says that nothing passes any more.
	stranded bool
}

// New listens on an address of its own for connections to another.
func New(listen, to string) (*Link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, to: to, pairs: map[*pair]struct{}{}, from: map[string]Fault{}, rates: map[string][2]*Bandwidth{}}
	go l.accept()
	return l, nil
}

// Address is where connections are taken.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes what is done to the connections, those that there are included.
func (l *Link) SetFault(harm Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.harm = harm
	for one := range l.pairs {
		switch harm {
		case BlocksExisting:
			one.stranded = true
		case ResetsConnections:
			one.reset()
		}
	}
}

// Close ends all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.listener.Close()
	for one := range l.pairs {
		one.reset()
	}
}

func (p *pair) reset() {
	for _, conn := range []net.Conn{p.near, p.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *Link) connect(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		one := &pair{near: near, far: near}
		one.reset()
		return
	}
	one := &pair{near: near, far: far}
	l.lookUp(one)
	l.mu.Lock()
	refused := l.closed || l.harm == ResetsConnections
	if !refused {
		l.pairs[one] = struct{}{}
	}
	l.mu.Unlock()
	if refused {
		one.reset()
		return
	}
	go l.pass(one, far, near, false)
	l.pass(one, near, far, true)
}

// pass copies from one half to the other until it ends. answers says that these are answers.
func (l *Link) pass(of *pair, to, from net.Conn, answers bool) {
	defer l.drop(of)
	buffer := make([]byte, piece)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !l.forward(of, to, buffer[:count], answers) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward passes bytes on as the harm has it; false if the connection is over.
func (l *Link) forward(of *pair, to io.Writer, bytes []byte, answers bool) bool {
	for {
		l.mu.Lock()
		harm, stranded, open := l.harmOf(of), of.stranded, !l.closed
		_, known := l.pairs[of]
		l.mu.Unlock()
		switch {
		case !open || !known || harm == ResetsConnections:
			return false
		case stranded, harm == BlocksTraffic, harm == BlocksResponses && answers, harm == BlocksRequests && !answers:
			time.Sleep(wait)
			continue
		case harm == Delays:
			time.Sleep(delay)
		case harm == TruncatesResponses && answers:
			_, _ = to.Write(bytes[:min(truncated, len(bytes))])
			return false
		}
		l.awaitTurn(of, len(bytes), answers)
		_, err := to.Write(bytes)
		return err == nil
	}
}

// drop ends a connection.
func (l *Link) drop(of *pair) {
	l.mu.Lock()
	delete(l.pairs, of)
	l.mu.Unlock()
	_ = of.near.Close()
	_ = of.far.Close()
}
