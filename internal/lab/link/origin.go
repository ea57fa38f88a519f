package link

import (
	"net"
	"net/netip"
)

// Ask lets a function tell from the address of whoever makes a connection who that is; empty:
// nobody of whom it knows. Connections that there are stay unknown.
func (l *Link) Ask(origin func(netip.AddrPort) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.origin = origin
}

// SetFrom changes what is done to the connections that one has made, those that there are
// included: Delays, Silences, Deafens, Mutes
// or Truncates. What is done to all goes first.
func (l *Link) SetFrom(origin string, harm Harm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from[origin] = harm
}

// ShareFrom is Share for the connections that one has made.
func (l *Link) ShareFrom(origin string, requests, answers *Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates[origin] = [2]*Rate{requests, answers}
}

// originOf returns who has made a connection.
func (l *Link) originOf(near net.Conn) string {
	l.mu.Lock()
	origin := l.origin
	l.mu.Unlock()
	address, ok := near.RemoteAddr().(*net.TCPAddr)
	if origin == nil || !ok {
		return ""
	}
	return origin(address.AddrPort())
}

// harmOf returns what is done to a connection now. The caller holds mu.
func (l *Link) harmOf(one *pair) Harm {
	if l.harm != None {
		return l.harm
	}
	return l.from[one.origin]
}
