// Package proxy takes clients' requests, finds the worker for each, sends it
// and answers. A request that may run only once is sent again only when it is
// proved that it did not run.
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
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
	"github.com/shalefork/shalefork/internal/traffic"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Bounds of requests.
const (
	// answerMargin is kept from the deadline to bring the answer to the client.
	answerMargin = 15 * time.Millisecond
)

// Reasons of answers that no worker gave.
const (
	reasonNoConfig = "no-configuration"
	reasonNoRoute  = "no-route"
	reasonNoWorker = "no-worker"
	reasonNoOwner  = "no-owner"
	// reasonRegion: the request may be served in regions only that have no worker for it.
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
	// reasonBodiesFull: there is no memory for one more large body.
	reasonBodiesFull = "bodies-full"
	// reasonCallerSlow: the caller sent its body, or read its answer, too slowly.
	reasonCallerSlow = "caller-slow"
	// Answers that ended before they were whole: by their worker, at the deadline, or since
	// the caller has left.
	reasonCutByWorker   = "cut-by-worker"
	reasonCutAtDeadline = "cut-at-deadline"
	reasonCutByClient   = "cut-by-client"
	// reasonLimited: the worker, or all of them, name limits, and get no more for now.
	reasonLimited = "worker-limit"
	// reasonBackoff: the worker, or all of them, have asked this process to send nothing for now.
	reasonBackoff = "worker-backoff"
	// reasonOverQuota: the tenant is beyond its limit.
	reasonOverQuota = "over-quota"
	// reasonOverShare: there is not room for all, and the tenant asks for more than its share.
	reasonOverShare = "tenant-over-share"
	// reasonQuarantined: the request has crashed workers that ran it.
	reasonQuarantined = "request-quarantined"
)

// active is a configuration with what deals its requests out.
type activeConfig struct {
	config   *routing.Config
	splitter *routing.Splitter
	swaps    *swaps
	// keys are the API keys of the configuration's tenants; nil if it has none.
	keys *tenant.Index
	// weight is that of a tenant without a limit.
	defaultWeight float64
	since         time.Time
}

// Proxy is the handler of clients' requests.
type Proxy struct {
	Headers upstream.Headers
	Table   *keytable.Table
	Meter   *peerlink.Meter
	Log     *decision.Log
	// Nodes is how many processes there are; zero if not known.
	Nodes   *atomic.Int32
	Metrics *Metrics
	// Traffic counts the bytes to and from workers; nil: nobody wants to know.
	Traffic *traffic.Counter
	// Suspects are the requests that were under way at workers that crashed.
	Suspects *quarantine.View
	// Quota of the tenants; nil: nobody has one.
	Quota Quota
	// Limits are what workers take from all routers together; nil: nobody keeps to them.
	Limits Limits
	// Leaving is called with the workers that say in their answers that they leave; nil: nobody wants
	// to know.
	OnWorkerLeaving func(workers.Incarnation)
	// KeysStay reports whether no key can move now, since the leader can't store a move; nil: they can.
	KeyMovesBlocked func() bool
	// Outdated reports whether keys may have been taken away that are known here still, so that
	// callers with keys are refused; nil: they never are for that.
	Outdated func() bool
	// Starting says that this process does not know yet which requests are quarantined.
	Starting atomic.Bool
	// Room bounds the memory of bodies in flight, and Turns what large ones put on the link.
	Room  *bodies.MemoryBudget
	Turns *bodies.LinkShaper
	// Drain is how long workers that leave may get requests.
	DrainPeriod time.Duration
	// Evacuate is how long the workers of an evacuated zone may get requests.
	EvacuationPeriod time.Duration
	// uploads and downloads count the large bodies in flight.
	uploads, downloads atomic.Int64
	fleet              *fleet
	unread             *unreadHeaders
	// secret keys the hash under which API keys are looked up.
	secret   tenant.Secret
	current  atomic.Pointer[activeConfig]
	stopping atomic.Bool
	// ending is done once the process is about to end; end makes it so.
	ending context.Context
	end    context.CancelFunc
}

// New returns a proxy in a zone over the announced workers.
func New(zone string, directory *workers.Directory, limits BudgetLimits) *Proxy {
	ending, end := context.WithCancel(context.Background())
	p := &Proxy{
		fleet: newFleet(zone, directory, limits), Nodes: &atomic.Int32{}, Suspects: quarantine.NewView(),
		Room: bodies.NewMemoryBudget(0), Turns: bodies.NewLinkShaper(0), unread: newUnreadHeaders(), ending: ending, end: end,
	}
	_, _ = cryptorand.Read(p.secret[:]) // it never fails
	p.fleet.isBlocked = p.isBlocked
	p.fleet.onIncarnationEnd = func(before *backend) { p.workerEnded(before, false) }
	return p
}

// Use puts a configuration into force unless a newer one is.
func (p *Proxy) Use(config *routing.Config) bool {
	for {
		old := p.current.Load()
		if old != nil && old.config.Version >= config.Version {
			return false
		}
		fresh := &activeConfig{
			config: config, splitter: routing.NewSplitter(rand.IntN), swaps: newSwaps(), keys: p.buildKeyIndex(config, old),
			defaultWeight: meanTenantRate(config), since: clock.Now(),
		}
		if p.current.CompareAndSwap(old, fresh) {
			p.fleet.sizes.retain(config)
			return true
		}
	}
}

// ConfigAge returns for how long the configuration is in force here.
func (p *Proxy) ConfigAge() time.Duration {
	if used := p.current.Load(); used != nil {
		return clock.Since(used.since)
	}
	return 0
}

// SetLimits changes what bounds second sends.
func (p *Proxy) SetLimits(limits BudgetLimits) { p.fleet.setLimits(limits) }

// Beside reports whether a request may run before those are answered that its caller has sent ahead
// of it on the same connection: it may be repeated, and its answer is small.
func (p *Proxy) MayRunConcurrently(request *http.Request) bool {
	used := p.current.Load()
	if used == nil {
		return false
	}
	route := used.config.Match(request.Host, request.URL.Path)
	return route != nil && route.Repeatable && route.Class != routing.BulkDownload && route.Class != routing.BulkUpload
}

// Config returns the configuration in force, nil if there is none.
func (p *Proxy) Config() *routing.Config {
	if used := p.current.Load(); used != nil {
		return used.config
	}
	return nil
}

// Stop makes the proxy ask clients to leave with each answer.
func (p *Proxy) BeginShutdown() { p.stopping.Store(true) }

// End answers all requests that are still under way, since the process is about to end: a
// request that is at no worker yet is refused with a promise, in place of a connection that
// breaks.
func (p *Proxy) CancelRequests() { p.end() }

// DropIdle closes all resting connections to workers: they may have ended unseen.
func (p *Proxy) DropIdle() { p.fleet.dropIdle() }

// Run keeps the connections to workers tidy until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.fleet.prune(now)
		}
	}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	detach := context.AfterFunc(p.ending, cancel)
	defer detach()
	c := &call{proxy: p, writer: writer, request: request.WithContext(ctx), began: clock.Now(), tried: map[workers.ID]bool{}, detach: detach}
	defer c.cleanups.run()
	c.message.ID = request.Header.Get(p.Headers.RequestID)
	c.bodyUnread = request.ContentLength < 0 || request.ContentLength > bodies.MaxSmall
	if p.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	used := p.current.Load()
	if used == nil || p.Starting.Load() {
		c.refuse(http.StatusServiceUnavailable, reasonNoConfig, 300*time.Millisecond)
		return
	}
	c.config = used.config
	if c.route = used.config.Match(request.Host, request.URL.Path); c.route == nil {
		c.refuse(http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	if !c.identify(used.keys) || !c.takeQuota() {
		return
	}
	defer c.returnQuota()
	c.sends.maxRuns = max(1, c.route.Attempts)
	c.service = c.selectService(used)
	if !c.prepare() {
		return
	}
	if c.refuseIfQuarantined() {
		return
	}
	c.initialStanding = c.standing()
	c.state = p.fleet.service(c.service)
	c.state.budget.recordRequest(int(p.Nodes.Load()), c.began)
	c.recordDemand(used)
	if c.service.Keyed {
		c.serveKeyed()
	} else {
		c.servePooled()
	}
}
