package link

import (
	"net"
	"net/netip"
)

// SetOriginLookup sets the function that returns the origin of a connection, which is the name of
// its client, by the client's address and the link's; empty if the client is unknown. It is not
// called for connections that are already open.
func (l *Link) SetOriginLookup(lookUp func(from, to netip.AddrPort) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lookUpOrigin = lookUp
}

// SetOriginFault changes the fault of the connections of one origin, including those that are
// open: NoFault, Delays, BlocksTraffic, BlocksResponses, BlocksRequests or TruncatesResponses. A
// fault that SetFault sets for all connections takes precedence.
func (l *Link) SetOriginFault(origin string, fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.originFaults[origin] = fault
}

// SetOriginBandwidth is SetBandwidth for the connections of one origin.
func (l *Link) SetOriginBandwidth(origin string, requests, responses *Bandwidth) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bandwidths[origin] = [2]*Bandwidth{requests, responses}
}

// resolveOrigin looks up the origin of a pair. It waits for the result if an origin has a fault;
// otherwise the lookup runs concurrently, since it may take as long as a request: those of the soak
// test take 5 ms where the kernel has 1,200 sockets, measured on a busy machine.
func (l *Link) resolveOrigin(pair *connPair) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		origin := l.originOf(pair.client)
		l.mu.Lock()
		defer l.mu.Unlock()
		pair.origin = origin
	}()
	if l.hasOriginFault() {
		<-done
	}
}

// hasOriginFault reports whether an origin's connections have a fault.
func (l *Link) hasOriginFault() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fault := range l.originFaults {
		if fault != NoFault {
			return true
		}
	}
	return false
}

// originOf returns the origin of a client's connection; empty if it is unknown.
func (l *Link) originOf(client net.Conn) string {
	l.mu.Lock()
	lookUp := l.lookUpOrigin
	l.mu.Unlock()
	from, ok := client.RemoteAddr().(*net.TCPAddr)
	to, toOK := client.LocalAddr().(*net.TCPAddr)
	if lookUp == nil || !ok || !toOK {
		return ""
	}
	return lookUp(from.AddrPort(), to.AddrPort())
}

// faultOf returns the current fault of a pair. The caller holds mu.
func (l *Link) faultOf(pair *connPair) Fault {
	if l.fault != NoFault {
		return l.fault
	}
	return l.originFaults[pair.origin]
}
