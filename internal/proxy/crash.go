package proxy

import (
	"context"
	"errors"
	"io"
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
	// probeTimeout is the timeout of a connection attempt that tests whether a process listens at a
	// worker's address. Without a listener the connection is refused within a round trip; a timeout
	// proves nothing.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the minimum interval between two probes of a worker. An overloaded worker
	// closes many connections, and each probe opens one more. Detecting a crash may take that much
	// longer.
	probeInterval = 250 * time.Millisecond
	// maxFingerprintedBody is the length of the part of a body that the request's fingerprint
	// covers, in bytes.
	maxFingerprintedBody = 128 << 10
)

// fingerprint returns the identifier that all attempts of the request share.
func (c *call) fingerprint() quarantine.Fingerprint {
	if cached := c.fingerprintCache.Load(); cached != nil {
		return *cached
	}
	fingerprint := quarantine.Request{
		Method: c.message.Method, Host: c.message.Host, URI: c.message.URI,
		Body: c.message.Body.Prefix(maxFingerprintedBody), Length: c.message.Length,
	}.Fingerprint()
	c.fingerprintCache.Store(&fingerprint)
	return fingerprint
}

// callerRequest returns the fingerprint of the request and its caller.
func (c *call) callerRequest() quarantine.CallerRequest {
	return quarantine.CallerRequest{Request: c.fingerprint(), Caller: c.callerAddress()}
}

// callerAddress returns the IP address that a request came from; the zero address if there is none.
func callerAddress(remote string) netip.Addr {
	address, err := netip.ParseAddrPort(remote)
	if err != nil { // the request did not come from the network
		return netip.Addr{}
	}
	return address.Addr()
}

// endEvidence returns what the result of a send shows about its worker's process: whether the
// request was interrupted, whether the worker closed the connection, and whether the worker has
// ended.
func endEvidence(result *upstream.Result) (interrupted, closed, ended bool) {
	closed = result.Outcome == upstream.Broken && closedByPeer(result.Err)
	interrupted = closed || (result.Written && (result.Outcome == upstream.TimedOut || result.Outcome == upstream.ClientGone || result.Outcome == upstream.BodyTruncated))
	ended = result.Outcome == upstream.Misdirected || (result.Outcome == upstream.NotSent && errors.Is(result.Err, syscall.ECONNREFUSED))
	return interrupted, closed, ended
}

// closedByPeer reports whether an error means that the peer closed the connection.
func closedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// recordWorkerEnd determines from the result of a send whether its worker crashed, and which
// requests were in progress there. That includes requests that timed out here: they may still run,
// and crash the worker.
func (c *call) recordWorkerEnd(to *backend, result *upstream.Result) {
	interrupted, closed, ended := endEvidence(result)
	switch {
	case ended && result.Outcome == upstream.Misdirected:
		c.proxy.workerEnded(to, false)
	case ended:
		c.proxy.confirmEnd(to, false)
	}
	if !interrupted {
		return
	}
	c.interrupted.Store(true)
	if to.recordInterrupted(clock.Now(), c.attempt()) {
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

// recordInterrupted records a request that was sent and got no complete answer. It returns true if
// the worker is known to have ended, so that its end interrupted the request.
func (b *backend) recordInterrupted(now time.Time, attempt quarantine.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashObserver.RecordInterrupted(now, attempt)
}

// recordEnd records that the worker has ended. It returns the requests that were interrupted by
// that; first is false if the end was already known.
func (b *backend) recordEnd(now time.Time) (attempts []quarantine.Attempt, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashObserver.RecordEnd(now)
}

// scheduleProbe returns the delay after which to probe the worker's address; due is false if a
// probe is already scheduled.
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

// probe tests whether a worker has ended after it closed a connection with a request in progress:
// overloaded workers reset connections too, and an answer may be interrupted. served reports
// whether the worker was announced and not draining when it closed the connection.
func (p *Proxy) probe(to *backend, served bool) {
	bounded, cancel := context.WithTimeout(p.ending, probeTimeout)
	defer cancel()
	connection, err := to.pool.Dial(bounded)
	switch {
	case err == nil:
		_ = connection.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		p.confirmEnd(to, served)
	}
}

// confirmTimeout limits the time until it is known whether a refused connection shows anything about its
// worker.
const confirmTimeout = 500 * time.Millisecond

// confirmEnd records that a worker has ended whose address refuses connections, unless connections to the
// other workers fail as well: a partition between this process and the workers may refuse them, too.
func (p *Proxy) confirmEnd(to *backend, served bool) {
	if p.ConfirmContact == nil {
		p.workerEnded(to, served)
		return
	}
	if !to.beginConfirmation() {
		return
	}
	served = served || p.wasServing(to)
	go func() {
		defer to.endConfirmation()
		bounded, cancel := context.WithTimeout(p.ending, confirmTimeout)
		defer cancel()
		if p.ConfirmContact(bounded) {
			p.workerEnded(to, served)
		}
	}()
}

// beginConfirmation returns false if it is being found out already whether the worker has ended.
func (b *backend) beginConfirmation() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	began := !b.confirming
	b.confirming = true
	return began
}

func (b *backend) endConfirmation() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirming = false
}

// workerEnded records that a worker has ended. Unless it was draining, it has crashed, and the
// requests that were in progress there become suspects. The entry of a crashed worker may have been
// removed by the time of the probe; served reports whether it was announced and not draining
// before.
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

// wasServing reports whether a worker is announced as ready. For a worker that has restarted since,
// it reports whether the previous incarnation was.
func (p *Proxy) wasServing(to *backend) bool {
	incarnation := to.info().Incarnation()
	worker, announced := p.fleet.directory.Get(incarnation.ID)
	if announced && incarnation.StartTime != 0 && worker.StartTime != incarnation.StartTime {
		worker, announced = p.fleet.directory.PreviousIncarnation(incarnation.ID)
		announced = announced && worker.StartTime == incarnation.StartTime
	}
	return announced && worker.State == workers.StateReady
}

// recordSuspect records that a request was in progress at a worker that crashed.
func (p *Proxy) recordSuspect(to *backend, attempt quarantine.Attempt) {
	now := clock.Now()
	p.Log.Line(decision.KindRequestSuspected).Str("id", attempt.ID).Str("fingerprint", attempt.Request.String()).
		Str("worker", string(to.id())).Str("route", attempt.Route).Str("caller", attempt.Caller.String()).Msg("")
	incarnation := to.info().Incarnation()
	for _, quarantined := range p.Suspects.RecordCrash(now, attempt, quarantine.Crash{Worker: incarnation.ID, StartTime: incarnation.StartTime, At: now}) {
		LogQuarantined(p.Log, quarantined)
	}
}

// LogQuarantined logs that a request has been quarantined and is no longer sent.
func LogQuarantined(log *decision.Log, attempt quarantine.Attempt) {
	log.Line(decision.KindRequestQuarantined).Str("id", attempt.ID).Str("fingerprint", attempt.Request.String()).
		Str("route", attempt.Route).Str("caller", attempt.Caller.String()).Msg("")
}

// attempt describes this attempt of the request.
func (c *call) attempt() quarantine.Attempt {
	return quarantine.Attempt{
		Request: c.fingerprint(), ID: c.message.ID, Route: c.route.Name, Caller: c.callerAddress(),
	}
}

// standing returns the request's quarantine standing. It costs one atomic load while no request is
// suspected.
func (c *call) standing() quarantine.Standing {
	if !c.proxy.Suspects.AnyRestricted() {
		return quarantine.Unsuspected
	}
	return c.proxy.Suspects.Standing(c.callerRequest())
}

// refuseIfQuarantined refuses the request if it is quarantined. It returns false if the request may
// be sent. The answer has no Retry-After header, since the request would be refused again.
func (c *call) refuseIfQuarantined() bool {
	if c.standing() != quarantine.Quarantined {
		return false
	}
	c.giveUpWithoutRetry(reasonQuarantined)
	return true
}

// clearSuspect reports that a suspected request was answered without a server error.
func (c *call) clearSuspect(result *upstream.Result) {
	if result.Outcome == upstream.Answered && result.Status < http.StatusInternalServerError && c.standing() != quarantine.Unsuspected {
		c.proxy.Suspects.RecordSuccess(clock.Now(), c.callerRequest())
	}
}

// maxClosedConnections is how many connections workers may close while they run one attempt before
// it is no longer sent to another worker. One is often the worker's own fault, and another worker
// may well answer; a second one is evidence against the request.
const maxClosedConnections = 2

// mayRunOnSeveralWorkers reports whether the request may be sent to a second worker while it may
// run, or have run, at a first: a request that crashes its workers would crash that one too.
func (c *call) mayRunOnSeveralWorkers() bool {
	return c.initialStanding == quarantine.Unsuspected && c.closedConnections.Load() < maxClosedConnections && c.standing() != quarantine.Quarantined
}
