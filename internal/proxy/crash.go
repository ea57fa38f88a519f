package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/workers"
)

// probeTimeout bounds the look whether anybody listens at a worker's address. A port at which
// nobody listens refuses within a round trip; silence shows nothing.
const probeTimeout = 300 * time.Millisecond

// fingerprint names the request over all its attempts.
func (c *call) fingerprint() quarantine.Fingerprint {
	if known := c.named.Load(); known != nil {
		return *known
	}
	named := quarantine.Request{
		Method: c.message.method, Host: c.message.host, URI: c.message.uri,
		Body: c.message.body, Length: c.message.length, Caller: caller(c.request.RemoteAddr),
	}.Fingerprint()
	c.named.Store(&named)
	return named
}

// caller returns the address that a request came from; the zero one if there is none.
func caller(remote string) netip.Addr {
	address, err := netip.ParseAddrPort(remote)
	if err != nil { // not a request from a network
		return netip.Addr{}
	}
	return address.Addr()
}

// endsOf tells what the end of a send shows of its worker's end.
func (r *result) endsOf() (cutOff, closed, ended bool) {
	closed = r.outcome == outcomeBroken && closedByPeer(r.err)
	cutOff = closed || (r.written && (r.outcome == outcomeLate || r.outcome == outcomeGone))
	ended = r.outcome == outcomeMisdirected || (r.outcome == outcomeNotSent && errors.Is(r.err, syscall.ECONNREFUSED))
	return cutOff, closed, ended
}

// closedByPeer reports whether an error says that the other side closed the connection.
func closedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// watchEnd learns from the end of a send whether its worker crashed, and which requests were
// under way there. What a send that was given up ran may end the worker too.
func (c *call) watchEnd(to *backend, got *result) {
	cutOff, closed, ended := got.endsOf()
	if ended {
		c.proxy.workerEnded(to)
	}
	if !cutOff {
		return
	}
	if to.cutOff(time.Now(), c.fingerprint()) {
		c.proxy.suspect(to, c.fingerprint())
	}
	if !closed {
		return
	}
	c.proxy.Log.Line(decision.KindCutOff).Str("id", c.message.id).Str("fingerprint", c.fingerprint().String()).
		Str("worker", string(to.id())).Str("route", c.route.Name).Str("caller", caller(c.request.RemoteAddr).String()).
		Dur("took", got.took).Msg("")
	if to.startProbe() {
		go c.proxy.probe(to)
	}
}

// probe looks whether a worker has ended that closed a connection with a request under way: a
// full worker resets connections too, and an answer may break off.
func (p *Proxy) probe(to *backend) {
	defer to.endProbe()
	bounded, cancel := context.WithTimeout(p.ending, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(bounded, "tcp", to.pool.address)
	switch {
	case err == nil:
		_ = connection.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		p.workerEnded(to)
	}
}

// workerEnded notes that a worker has ended. Unless it was leaving, it crashed, and the
// requests under way there are suspects.
func (p *Proxy) workerEnded(to *backend) {
	if !p.wasServing(to.id()) {
		return
	}
	requests, first := to.hasEnded(time.Now())
	if !first {
		return
	}
	p.Metrics.crashed(to.described().Service)
	p.Log.Line(decision.KindWorkerCrashed).Str("worker", string(to.id())).
		Str("service", string(to.described().Service)).Int("requests", len(requests)).Msg("")
	for _, request := range requests {
		p.suspect(to, request)
	}
}

// wasServing reports whether a worker is announced and does not leave.
func (p *Proxy) wasServing(id workers.ID) bool {
	worker, announced := p.fleet.directory.Get(id)
	return announced && worker.State == workers.StateReady
}

// suspect notes that a request was under way at a worker that crashed.
func (p *Proxy) suspect(to *backend, request quarantine.Fingerprint) {
	if !p.wasServing(to.id()) {
		return
	}
	p.Log.Line(decision.KindSuspect).Str("fingerprint", request.String()).Str("worker", string(to.id())).Msg("")
}
