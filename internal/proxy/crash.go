package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// probeTimeout bounds the look whether anybody listens at a worker's address. A port at
	// which nobody listens refuses within a round trip; silence shows nothing.
	probeTimeout = 300 * time.Millisecond
	// probePause is the least pause between two looks at one worker. A full one closes many
	// connections, and each look is one more; a crash may be seen that much later.
	probePause = 250 * time.Millisecond
	// namedBody is how much of a body makes a request's fingerprint, in bytes.
	namedBody = 128 << 10
)

// fingerprint names the request over all its attempts.
func (c *call) fingerprint() quarantine.Fingerprint {
	if known := c.fingerprintCache.Load(); known != nil {
		return *known
	}
	named := quarantine.Request{
		Method: c.message.Method, Host: c.message.Host, URI: c.message.URI,
		Body: c.message.Body.Prefix(namedBody), Length: c.message.Length,
	}.Fingerprint()
	c.fingerprintCache.Store(&named)
	return named
}

// run returns whose request this is.
func (c *call) run() quarantine.Run {
	return quarantine.Run{Request: c.fingerprint(), Caller: caller(c.request.RemoteAddr)}
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
func endsOf(r *upstream.Result) (cutOff, closed, ended bool) {
	closed = r.Outcome == upstream.Broken && closedByPeer(r.Err)
	cutOff = closed || (r.Written && (r.Outcome == upstream.TimedOut || r.Outcome == upstream.ClientGone || r.Outcome == upstream.BodyTruncated))
	ended = r.Outcome == upstream.Misdirected || (r.Outcome == upstream.NotSent && errors.Is(r.Err, syscall.ECONNREFUSED))
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
func (c *call) watchEnd(to *backend, got *upstream.Result) {
	cutOff, closed, ended := endsOf(got)
	if ended {
		c.proxy.workerEnded(to, false)
	}
	if !cutOff {
		return
	}
	if to.cutOff(clock.Now(), c.attempt()) {
		c.proxy.suspect(to, c.attempt())
	}
	if !closed {
		return
	}
	c.closedConnections.Add(1)
	if wait, due := to.nextProbe(clock.Now()); due {
		served := c.proxy.wasServing(to)
		time.AfterFunc(wait, func() { c.proxy.probe(to, served) })
	}
}

// cutOff notes a request that was sent and got no whole answer; true if the worker's end,
// which is known, cut it off.
func (b *backend) cutOff(now time.Time, attempt quarantine.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.witness.CutOff(now, attempt)
}

// hasEnded notes that the worker has ended; first is false if that was known. It returns the
// requests that its end cut off.
func (b *backend) hasEnded(now time.Time) (attempts []quarantine.Attempt, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.witness.Ended(now)
}

// nextProbe says after which time the worker's address is to be looked at; due is false if a
// look is to begin already.
func (b *backend) nextProbe(now time.Time) (wait time.Duration, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.probeAt.After(now) {
		return 0, false
	}
	if next := b.probeAt.Add(probePause); next.After(now) {
		wait = next.Sub(now)
	}
	b.probeAt = now.Add(wait)
	return wait, true
}

// probe looks whether a worker has ended that closed a connection with a request under way: a
// full worker resets connections too, and an answer may break off. served says whether the worker
// was announced, and did not leave, when it closed the connection.
func (p *Proxy) probe(to *backend, served bool) {
	bounded, cancel := context.WithTimeout(p.ending, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(bounded, "tcp", to.pool.Address())
	switch {
	case err == nil:
		_ = connection.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		p.workerEnded(to, served)
	}
}

// workerEnded notes that a worker has ended. Unless it was leaving, it crashed, and the
// requests under way there are suspects. The entry of one that crashed may be gone by the time
// of a look: served tells what it was before.
func (p *Proxy) workerEnded(to *backend, served bool) {
	if _, announced := p.fleet.directory.Get(to.id()); announced || !served {
		served = p.wasServing(to)
	}
	if !served {
		return
	}
	attempts, first := to.hasEnded(clock.Now())
	if !first {
		return
	}
	p.Metrics.crashed(to.info().Service)
	p.Log.Line(decision.KindWorkerCrashed).Str("worker", string(to.id())).
		Str("service", string(to.info().Service)).Int("requests", len(attempts)).Msg("")
	for _, attempt := range attempts {
		p.suspect(to, attempt)
	}
}

// wasServing reports whether a worker is announced and does not leave; one that has started
// again meanwhile, whether it did not then.
func (p *Proxy) wasServing(to *backend) bool {
	life := to.info().Life()
	worker, announced := p.fleet.directory.Get(life.ID)
	if announced && life.Born != 0 && worker.Born != life.Born {
		worker, announced = p.fleet.directory.Before(life.ID)
		announced = announced && worker.Born == life.Born
	}
	return announced && worker.State == workers.StateReady
}

// suspect notes that a request was under way at a worker that crashed.
func (p *Proxy) suspect(to *backend, attempt quarantine.Attempt) {
	now := clock.Now()
	p.Log.Line(decision.KindSuspect).Str("id", attempt.ID).Str("fingerprint", attempt.Request.String()).
		Str("worker", string(to.id())).Str("route", attempt.Route).Str("caller", attempt.Caller.String()).Msg("")
	life := to.info().Life()
	for _, held := range p.Suspects.Crashed(now, attempt, quarantine.Crash{Worker: life.ID, Born: life.Born, At: now}) {
		TellQuarantined(p.Log, held)
	}
}

// TellQuarantined logs that a request is sent no longer.
func TellQuarantined(log *decision.Log, attempt quarantine.Attempt) {
	log.Line(decision.KindQuarantined).Str("id", attempt.ID).Str("fingerprint", attempt.Request.String()).
		Str("route", attempt.Route).Str("caller", attempt.Caller.String()).Msg("")
}

// attempt describes this attempt of the request.
func (c *call) attempt() quarantine.Attempt {
	return quarantine.Attempt{
		Request: c.fingerprint(), ID: c.message.ID, Route: c.route.Name, Caller: caller(c.request.RemoteAddr),
	}
}

// standing says how the request may be sent. While no request is suspected it costs one load.
func (c *call) standing() quarantine.Standing {
	if !c.proxy.Suspects.Watching() {
		return quarantine.Free
	}
	return c.proxy.Suspects.Standing(c.run())
}

// quarantined refuses a request that may not be sent; false if it may. No time to come back is
// told: it would be refused again.
func (c *call) quarantined() bool {
	if c.standing() != quarantine.Quarantined {
		return false
	}
	c.giveUpWithoutRetry(reasonQuarantined)
	return true
}

// cleared tells that a suspected request ran to a good end.
func (c *call) cleared(got *upstream.Result) {
	if got.Outcome == upstream.Answered && got.Status < http.StatusInternalServerError && c.standing() != quarantine.Free {
		c.proxy.Suspects.Finished(clock.Now(), c.run())
	}
}

// mostClosed is how many workers may close the connection of one attempt in mid-run. One is
// often a worker's own fault, and another may well answer; a second one speaks against the
// request.
const mostClosed = 2

// maySpread reports whether the request may be sent to a second worker while it may run, or
// have run, at a first: a request that crashes its workers would crash that one too.
func (c *call) maySpread() bool {
	return c.initialStanding == quarantine.Free && c.closedConnections.Load() < mostClosed && c.standing() != quarantine.Quarantined
}
