package link

import (
	"net"
	"net/netip"
)

// Ask lets a function tell from the addresses of a connection who has made it; empty: nobody of
// whom it knows. Connections that there are stay unknown.
func (l *Link) SetOriginLookup(origin func(from, to netip.AddrPort) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.origin = origin
}

// SetFrom changes what is done to the connections that one has made, those that there are
// included: Delays, Silences, Deafens, Mutes
// or Truncates. What is done to all goes first.
func (l *Link) SetOriginFault(origin string, harm Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from[origin] = harm
}

// ShareFrom is Share for the connections that one has made.
func (l *Link) SetOriginBandwidth(origin string, requests, answers *Bandwidth) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates[origin] = [2]*Bandwidth{requests, answers}
}

// lookUp finds out who has made a connection: before it passes anything if what is done depends
// on that, and beside it else, since a look may take as long as a request. Looks of the soak take
// 5 ms where the kernel has 1,200 sockets, measured on a machine at work.
func (l *Link) lookUp(one *pair) {
	found := make(chan struct{})
	go func() {
		defer close(found)
		origin := l.originOf(one.near)
		l.mu.Lock()
		defer l.mu.Unlock()
		one.origin = origin
	}()
	if l.harmsSome() {
		<-found
	}
}

// harmsSome reports whether the connections of some are harmed.
func (l *Link) harmsSome() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, harm := range l.from {
		if harm != NoFault {
			return true
		}
	}
	return false
}

// originOf returns who has made a connection.
func (l *Link) originOf(near net.Conn) string {
	l.mu.Lock()
	origin := l.origin
	l.mu.Unlock()
	from, ok := near.RemoteAddr().(*net.TCPAddr)
	to, also := near.LocalAddr().(*net.TCPAddr)
	if origin == nil || !ok || !also {
		return ""
	}
	return origin(from.AddrPort(), to.AddrPort())
}

// harmOf returns what is done to a connection now. The caller holds mu.
func (l *Link) harmOf(one *pair) Fault {
	if l.harm != NoFault {
		return l.harm
	}
	return l.from[one.origin]
}
