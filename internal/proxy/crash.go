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
	// probeInterval is the least pause between two looks at one worker. A full one closes many
	// connections, and each look is one more; a crash may be seen that much later.
	probeInterval = 250 * time.Millisecond
	// maxFingerprintedBody is how much of a body makes a request's fingerprint, in bytes.
	maxFingerprintedBody = 128 << 10
)

// fingerprint names the request over all its attempts.
func (c *call) fingerprint() quarantine.Fingerprint {
	if known := c.fingerprintCache.Load(); known != nil {
		return *known
	}
	named := quarantine.Request{
		Method: c.message.Method, Host: c.message.Host, URI: c.message.URI,
		Body: c.message.Body.Prefix(maxFingerprintedBody), Length: c.message.Length,
	}.Fingerprint()
	c.fingerprintCache.Store(&named)
	return named
}

// run returns whose request this is.
func (c *call) quarantineRun() quarantine.CallerRequest {
	return quarantine.CallerRequest{Request: c.fingerprint(), Caller: callerAddress(c.request.RemoteAddr)}
}

// caller returns the address that a request came from; the zero one if there is none.
func callerAddress(remote string) netip.Addr {
	address, err := netip.ParseAddrPort(remote)
	if err != nil { // not a request from a network
		return netip.Addr{}
	}
	return address.Addr()
}

// endEvidence tells what the end of a send shows of its worker's end.
func endEvidence(r *upstream.Result) (cutOff, closed, ended bool) {
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
func (c *call) recordWorkerEnd(to *backend, got *upstream.Result) {
	cutOff, closed, ended := endEvidence(got)
	if ended {
		c.proxy.workerEnded(to, false)
	}
	if !cutOff {
		return
	}
	if to.recordCutOff(clock.Now(), c.attempt()) {
		c.proxy.recordSuspect(to, c.attempt())
	}
	if !closed {
		return
	}
	c.closedConnections.Add(1)
	if wait, due := to.scheduleProbe(clock.Now()); due {
		served := c.proxy.wasServing(to)
		time.AfterFunc(wait, func() { c.proxy.probe(to, served) })
	}
}

// cutOff notes a request that was sent and got no whole answer; true if the worker's end,
// which is known, cut it off.
func (b *backend) recordCutOff(now time.Time, attempt quarantine.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.witness.RecordInterrupted(now, attempt)
}

// hasEnded notes that the worker has ended; first is false if that was known. It returns the
// requests that its end cut off.
func (b *backend) recordEnd(now time.Time) (attempts []quarantine.Attempt, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.witness.RecordEnd(now)
}

// nextProbe says after which time the worker's address is to be looked at; due is false if a
// look is to begin already.
func (b *backend) scheduleProbe(now time.Time) (wait time.Duration, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.probeAt.After(now) {
		return 0, false
	}
	if next := b.probeAt.Add(probeInterval); next.After(now) {
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
	attempts, first := to.recordEnd(clock.Now())
	if !first {
		return
	}
	p.Metrics.recordCrash(to.info().Service)
	p.Log.Line(decision.KindWorkerCrashed).Str("worker", string(to.id())).
		Str("service", string(to.info().Service)).Int("requests", len(attempts)).Msg("")
	for _, attempt := range attempts {
		p.recordSuspect(to, attempt)
	}
}

// wasServing reports whether a worker is announced and does not leave; one that has started
// again meanwhile, whether it did not then.
func (p *Proxy) wasServing(to *backend) bool {
	life := to.info().Incarnation()
	worker, announced := p.fleet.directory.Get(life.ID)
	if announced && life.StartTime != 0 && worker.StartTime != life.StartTime {
		worker, announced = p.fleet.directory.PreviousIncarnation(life.ID)
		announced = announced && worker.StartTime == life.StartTime
	}
	return announced && worker.State == workers.StateReady
}

// suspect notes that a request was under way at a worker that crashed.
func (p *Proxy) recordSuspect(to *backend, attempt quarantine.Attempt) {
	now := clock.Now()
	p.Log.Line(decision.KindSuspect).Str("id", attempt.ID).Str("fingerprint", attempt.Request.String()).
		Str("worker", string(to.id())).Str("route", attempt.Route).Str("caller", attempt.Caller.String()).Msg("")
	life := to.info().Incarnation()
	for _, held := range p.Suspects.RecordCrash(now, attempt, quarantine.Crash{Worker: life.ID, Born: life.StartTime, At: now}) {
		LogQuarantined(p.Log, held)
	}
}

// LogQuarantined logs that a request is sent no longer.
func LogQuarantined(log *decision.Log, attempt quarantine.Attempt) {
	log.Line(decision.KindQuarantined).Str("id", attempt.ID).Str("fingerprint", attempt.Request.String()).
		Str("route", attempt.Route).Str("caller", attempt.Caller.String()).Msg("")
}

// attempt describes this attempt of the request.
func (c *call) attempt() quarantine.Attempt {
	return quarantine.Attempt{
		Request: c.fingerprint(), ID: c.message.ID, Route: c.route.Name, Caller: callerAddress(c.request.RemoteAddr),
	}
}

// standing says how the request may be sent. While no request is suspected it costs one load.
func (c *call) standing() quarantine.Standing {
	if !c.proxy.Suspects.AnyRestricted() {
		return quarantine.Unsuspected
	}
	return c.proxy.Suspects.Standing(c.quarantineRun())
}

// quarantined refuses a request that may not be sent; false if it may. No time to come back is
// told: it would be refused again.
func (c *call) refuseIfQuarantined() bool {
	if c.standing() != quarantine.Quarantined {
		return false
	}
	c.giveUpWithoutRetry(reasonQuarantined)
	return true
}

// cleared tells that a suspected request ran to a good end.
func (c *call) clearSuspect(got *upstream.Result) {
	if got.Outcome == upstream.Answered && got.Status < http.StatusInternalServerError && c.standing() != quarantine.Unsuspected {
		c.proxy.Suspects.RecordSuccess(clock.Now(), c.quarantineRun())
	}
}

// maxClosedConnections is how many workers may close the connection of one attempt in mid-run. One is
// often a worker's own fault, and another may well answer; a second one speaks against the
// request.
const maxClosedConnections = 2

// maySpread reports whether the request may be sent to a second worker while it may run, or
// have run, at a first: a request that crashes its workers would crash that one too.
func (c *call) mayRunOnSeveralWorkers() bool {
	return c.initialStanding == quarantine.Unsuspected && c.closedConnections.Load() < maxClosedConnections && c.standing() != quarantine.Quarantined
}
