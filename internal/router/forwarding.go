package router

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/forward"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// maxKnownPeers is the most other routers that are known for want of a leader that names some which reach
// the workers.
const maxKnownPeers = 16

// newHelpers returns the routers to which this one forwards requests while it is cut off from the workers.
func (r *Router) newHelpers() *forward.Set {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return peerlink.DialForwarding(ctx, peerlink.Hello{Node: r.settings.Node, Zone: r.settings.Zone}, address)
	}
	return forward.NewSet(dial, func() []string { return r.peers.Sample(maxKnownPeers, r.settings.PeerListen) })
}

// contact returns whether this process reaches the workers.
func (r *Router) contact() peerlink.Contact {
	now := clock.Now()
	switch {
	case r.reach.CutOff(now):
		return peerlink.CutOff
	case r.reach.Reaches(now):
		return peerlink.InContact
	}
	return peerlink.ContactUnknown
}

// handleHelpers takes the addresses of routers that reach the workers from an update.
func (r *Router) handleHelpers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	r.proxy.Helpers.Told(clock.Now(), addresses)
	r.hub.SetHelpers(addresses)
}

// newForwardedServer returns the server of requests that other routers forward.
func (r *Router) newForwardedServer() *http.Server {
	server := r.newServer()
	server.Handler = http.HandlerFunc(r.proxy.ServeForwarded)
	r.gates.peers.Attach(server)
	return server
}

// connListener is a listener of connections that were accepted elsewhere.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closing sync.Once
	closed  chan struct{}
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// add passes a connection to the listener, or closes it once the listener is closed.
func (l *connListener) add(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }
