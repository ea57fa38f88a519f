// Package proxy accepts clients' requests, chooses a worker for each, sends the request to it and
// returns the answer. A request that must not run twice is sent again only if it is proved that it
// has not run.
package proxy

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/forward"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/reachability"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
	"github.com/shalefork/shalefork/internal/traffic"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Limits of request handling.
const (
	// answerMargin is the part of the time before the deadline that is reserved for returning the
	// answer to the client.
	answerMargin = 15 * time.Millisecond
)

// Reasons of answers that the router gives in place of a worker.
const (
	reasonNoConfig = "no-configuration"
	reasonNoRoute  = "no-route"
	reasonNoWorker = "no-worker"
	reasonNoOwner  = "no-owner"
	// reasonRegion: the request may be served only in regions without a worker for it.
	reasonRegion     = "region-not-allowed"
	reasonMoving     = "key-moving"
	reasonOwnerDown  = "owner-unusable"
	reasonOwnerGone  = "owner-gone"
	reasonEnding     = "router-ends"
	reasonEvacuated  = "zone-evacuated"
	reasonCold       = "owner-warms-up"
	reasonBusy       = "workers-busy"
	reasonRefused    = "worker-refused"
	reasonBudget     = "retry-budget"
	reasonAnswerLost = "answer-lost"
	reasonDeadline   = "deadline"
	reasonMalformed  = "malformed"
	reasonBody       = "body"
	reasonQueue      = "queue-full"
	// reasonBodiesFull: there is no memory for another large body.
	reasonBodiesFull = "bodies-full"
	// reasonCallerSlow: the caller sent its body or read its answer too slowly.
	reasonCallerSlow = "caller-slow"
	// Answers that were truncated: by the worker, at the deadline, or because the caller
	// disconnected.
	reasonCutByWorker   = "cut-by-worker"
	reasonCutAtDeadline = "cut-at-deadline"
	reasonCutByClient   = "cut-by-client"
	// reasonLimited: the worker, or each of them, has a rate limit that admits no more requests for
	// now.
	reasonLimited = "worker-limit"
	// reasonBackoff: the worker, or each of them, has requested a backoff from this process.
	reasonBackoff = "worker-backoff"
	// reasonQuotaUnknown: the tenant has a limit, and this process, which has just started, does not know
	// yet how much of it is used.
	reasonQuotaUnknown = "quota-unknown"
	// reasonOverQuota: the tenant exceeds its limit.
	reasonOverQuota = "over-quota"
	// reasonOverShare: the workers' capacity is scarce, and the tenant requests more than its
	// share.
	reasonOverShare = "tenant-over-share"
	// reasonQuarantined: the request has crashed workers that ran it.
	reasonQuarantined = "request-quarantined"
	// reasonSuspected: the request may crash workers that run it, and another attempt of it runs.
	reasonSuspected = "request-suspected"
	// reasonCutOff: this router is cut off from the workers, and no other router took the request.
	reasonCutOff = "cut-off"
)

// activeConfig is a configuration in force with the state for distributing its requests.
type activeConfig struct {
	config   *routing.Config
	splitter *routing.Splitter
	swaps    *swaps
	// keys are the API keys of the configuration's tenants; nil if it has no tenants.
	keys *tenant.Index
	// defaultWeight is the weight of tenants without a limit.
	defaultWeight float64
	since         time.Time
}

// Proxy is the HTTP handler of clients' requests.
type Proxy struct {
	Headers upstream.Headers
	Table   *keytable.Table
	Meter   *peerlink.Meter
	Log     *decision.Log
	// Nodes is the number of router processes; zero if unknown.
	Nodes   *atomic.Int32
	Metrics *Metrics
	// Traffic counts the bytes exchanged with workers; nil disables counting.
	Traffic *traffic.Counter
	// Suspects holds the requests that were in progress at workers that crashed.
	Suspects *quarantine.View
	// SuspectPermits lets one attempt of each of them run at a time; nil lets all run.
	SuspectPermits SuspectPermits
	// Quota enforces the tenants' limits; nil if no tenant has one.
	Quota Quota
	// Reachability tells whether this process is cut off from the workers.
	Reachability *reachability.Tracker
	// ConfirmContact reports whether this process reaches workers at all, so that a connection which one of
	// them refuses shows that its process has ended. If it is nil, it is assumed.
	ConfirmContact func(ctx context.Context) bool
	// Helpers are the routers to which requests are forwarded while this process is cut off from the
	// workers; nil if there are none.
	Helpers *forward.Set
	// Limits enforces the workers' rate limits over all routers; nil disables them.
	Limits Limits
	// OnWorkerLeaving is called for workers whose answers report that they are leaving; may be nil.
	OnWorkerLeaving func(workers.Incarnation)
	// KeyMovesBlocked reports whether no key can be moved for now, because the leader can't store a
	// move; nil means that keys can always be moved.
	KeyMovesBlocked func() bool
	// Outdated reports whether API keys that this process still accepts may have been revoked, in
	// which case callers with keys are refused; nil means never.
	Outdated func() bool
	// Starting reports that this process does not know yet which requests are quarantined.
	Starting atomic.Bool
	// MemoryBudget bounds the memory of bodies in flight, and LinkShaper the rate at which large
	// ones use the link.
	MemoryBudget *bodies.MemoryBudget
	LinkShaper   *bodies.LinkShaper
	// DrainPeriod is for how long workers that are leaving may get requests.
	DrainPeriod time.Duration
	// EvacuationPeriod is for how long the workers of an evacuated zone may get requests.
	EvacuationPeriod time.Duration
	// uploads and downloads count the large bodies in flight.
	uploads, downloads atomic.Int64
	// permitCount numbers the permits for suspected requests that were asked for.
	permitCount atomic.Uint64
	fleet       *fleet
	unread      *unreadHeaders
	// secret keys the hash by which API keys are looked up.
	secret  tenant.Secret
	current atomic.Pointer[activeConfig]
	shutdown
}

// New returns a proxy in the given zone that sends to the workers of the directory.
func New(zone string, directory *workers.Directory, limits BudgetLimits) *Proxy {
	p := &Proxy{
		fleet: newFleet(zone, directory, limits), Nodes: &atomic.Int32{}, Suspects: quarantine.NewView(), Reachability: &reachability.Tracker{},
		MemoryBudget: bodies.NewMemoryBudget(0), LinkShaper: bodies.NewLinkShaper(0), unread: newUnreadHeaders(), shutdown: newShutdown(),
	}
	_, _ = cryptorand.Read(p.secret[:]) // never fails
	p.fleet.isBlocked = p.isBlocked
	p.fleet.onIncarnationEnd = func(previous *backend) { p.workerEnded(previous, false) }
	return p
}

// SetWorkerDialer sets the function that opens connections to workers. It must be called before the
// first request.
func (p *Proxy) SetWorkerDialer(dial upstream.DialFunc) { p.fleet.dial = dial }

// Use puts a configuration into force. It returns false if the current one is as new or newer.
func (p *Proxy) Use(config *routing.Config) bool {
	for {
		old := p.current.Load()
		if old != nil && old.config.Version >= config.Version {
			return false
		}
		next := &activeConfig{
			config: config, splitter: routing.NewSplitter(rand.IntN), swaps: newSwaps(), keys: p.buildKeyIndex(config, old),
			defaultWeight: meanTenantRate(config), since: clock.Now(),
		}
		if p.current.CompareAndSwap(old, next) {
			p.fleet.sizes.retain(config)
			return true
		}
	}
}

// ConfigAge returns how long the configuration has been in force in this process.
func (p *Proxy) ConfigAge() time.Duration {
	if active := p.current.Load(); active != nil {
		return clock.Since(active.since)
	}
	return 0
}

// SetLimits changes the retry budget's limits.
func (p *Proxy) SetLimits(limits BudgetLimits) { p.fleet.setLimits(limits) }

// MayRunConcurrently reports whether a request may run before earlier requests on the same client
// connection have been answered: it must be repeatable, and its body and answer small.
func (p *Proxy) MayRunConcurrently(request *http.Request) bool {
	active := p.current.Load()
	if active == nil {
		return false
	}
	route := active.config.Match(request.Host, request.URL.Path)
	return route != nil && route.Repeatable && route.Class != routing.BulkDownload && route.Class != routing.BulkUpload
}

// Config returns the configuration in force; nil if there is none.
func (p *Proxy) Config() *routing.Config {
	if active := p.current.Load(); active != nil {
		return active.config
	}
	return nil
}

// DropIdle closes all idle connections to workers, which may have ended unnoticed.
func (p *Proxy) DropIdle() { p.fleet.dropIdle() }

// Run closes expired connections to workers and removes the state of departed ones until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.fleet.prune(now)
			p.pruneHelpers(clock.Now())
		}
	}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.serve(writer, request, origin{})
}

// serve handles a request of a caller, or of a router that has forwarded it.
func (p *Proxy) serve(writer http.ResponseWriter, request *http.Request, from origin) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(request.Context()))
	defer cancel()
	detach := context.AfterFunc(p.ending, cancel)
	defer detach()
	c := &call{proxy: p, writer: writer, request: request.WithContext(ctx), began: clock.Now(), tried: map[workers.ID]bool{}, detach: detach, origin: from}
	defer context.AfterFunc(request.Context(), func() {
		if !c.bodyInterrupted.Load() {
			cancel()
		}
	})()
	defer c.cleanups.run()
	c.message.ID = request.Header.Get(p.Headers.RequestID)
	c.bodyUnread = request.ContentLength < 0 || request.ContentLength > bodies.MaxSmall
	if p.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	active := p.current.Load()
	if active == nil || p.Starting.Load() {
		c.declineForwarded()
		c.refuse(http.StatusServiceUnavailable, reasonNoConfig, 300*time.Millisecond)
		return
	}
	c.config = active.config
	if c.route = active.config.Match(request.Host, request.URL.Path); c.route == nil {
		c.declineForwarded()
		c.refuse(http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	c.sends.maxRuns = max(1, c.route.Attempts)
	if !c.identify(active.keys) || c.forwardWhileCutOff() || !c.acquireQuota() {
		return
	}
	defer c.releaseQuota()
	c.service = c.selectService(active)
	if !c.prepare() {
		return
	}
	if c.refuseIfQuarantined() {
		return
	}
	c.initialStanding = c.standing()
	c.state = p.fleet.service(c.service)
	c.state.budget.recordRequest(int(p.Nodes.Load()), c.began)
	c.recordDemand(active)
	if c.service.Keyed {
		c.serveKeyed()
	} else {
		c.servePooled()
	}
}
