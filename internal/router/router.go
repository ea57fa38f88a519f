// Package router implements the process that runs on every machine. It forwards clients' requests
// to workers; one of the processes at a time is the leader and assigns the owners of keys.
//
// The process keeps no state across restarts. Durable state (the term, the owners of keys) is in
// the key-value service.
package router

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/grantlog"
	"github.com/shalefork/shalefork/internal/intake"
	"github.com/shalefork/shalefork/internal/keeper"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/pipeline"
	"github.com/shalefork/shalefork/internal/proxy"
	"github.com/shalefork/shalefork/internal/reachability"
	"github.com/shalefork/shalefork/internal/registry"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/standby"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/traffic"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Error is the class of errors of this package.
var Error = errs.Class("router")

// KeyPrefix is the prefix of the system's own keys in the key-value service.
const KeyPrefix = "shalefork/"

// Adapter connects a platform: its services, and the parsers of its formats.
type Adapter struct {
	Store coord.Store
	// SetStoreAddress sends subsequent calls to another address of the store.
	SetStoreAddress func(address string)
	Orders          owner.OrderSender
	// DialWorker opens connections to workers; nil opens them directly.
	DialWorker upstream.DialFunc
	// Headers are the platform's header names.
	Headers upstream.Headers
	// ReadyPath is the path of readiness checks on the ready address.
	ReadyPath string
	// ConfigPrefix is the key prefix of the operators' configuration.
	ConfigPrefix string
	// HashAPIKeys replaces the API keys in an operator's item by their digests. If it can't find
	// the keys in an item, it returns the item empty, with an error. It may be nil if there are
	// no keys.
	HashAPIKeys func(item coord.Item) (coord.Item, error)
	// ParseConfig returns the configuration among items; nil if there is none.
	ParseConfig func(items []coord.Item) (*routing.Config, error)
	// ParseEvacuationKey returns the zone whose workers get no work while the key exists under
	// ConfigPrefix; false if the key is unrelated. It may be nil if zones are never evacuated.
	ParseEvacuationKey func(key string) (zone string, evacuates bool)
	// WorkersPrefix is the key prefix of worker entries.
	WorkersPrefix string
	// ParseWorker parses a worker's entry; its error is a *workers.EntryError.
	ParseWorker func(item coord.Item) (workers.Worker, error)
	// WorkerID returns the worker of an entry's key.
	WorkerID func(key string) workers.ID
}

// Metrics is where a router registers its metrics and gathers them for exposition.
type Metrics interface {
	prometheus.Registerer
	prometheus.Gatherer
}

// Router is one running process.
type Router struct {
	settings settings.Router
	adapter  Adapter
	// store is the adapter's store with call metrics.
	store *meteredStore
	// zoneMap maps zones to regions.
	zoneMap topology.Map
	log     *decision.Log
	metrics Metrics
	workers *workers.Directory
	table   *keytable.Table
	meter   *peerlink.Meter
	proxy   *proxy.Proxy
	hub     *peerlink.Hub
	keeper  *keeper.Keeper
	standby *standby.Standby
	// grants sends the orders of keeper and standby.
	grants *grantlog.Log
	// reach tells whether this process is cut off from the workers.
	reach *reachability.Tracker
	// process is a random ID, unique to this run of the process.
	process  string
	election *election.Election
	reports  chan peerlink.Report
	nodes    *atomic.Int32
	stopping atomic.Bool
	// config and entries are the read states of the configuration and of the worker entries.
	config, entries *prefixState
	entriesView     *workersView
	configView      *configView
	// unreadable counts the entries that can't be used as workers.
	unreadable unreadableMetric
	// updates tracks whether a leader or relay sends updates to this process. noLeader is closed
	// once a starting process has found no leader that would.
	updates  updateSource
	noLeader *latch
	// ownersLoaded guards the load of the stored owners by a process that starts without a leader.
	ownersLoaded sync.Once
	// largeList is set if the worker list has several pages; listSizeKnown is closed once that is
	// known.
	largeList     atomic.Bool
	listSizeKnown *latch
	// peers are other processes to query for the leader when the service does not name it.
	peers peerlink.Peers
	// configAsOf is the time, in clock.Nanos, as of which updates have confirmed the current
	// configuration to be the newest.
	configAsOf atomic.Int64
	// leaderStoreUnreachable is whether the leader, by its last update, can't reach the key-value
	// service.
	leaderStoreUnreachable atomic.Bool
	// strongest is the greatest strength of any machine, as the bits of a float64.
	strongest atomic.Uint64
	quotas    *quotas
	limits    *workerLimits
	leaving   *leavingWorkers
	// gates limit the connections to this process.
	gates gates
	// pipelined runs requests that are pipelined behind others on their connections.
	pipelined *pipeline.Splitter
}

// reportQueueSize is how many reports may wait for the keeper.
const reportQueueSize = 256

// New returns a router that has not opened any listener.
func New(config settings.Router, adapter Adapter, log *decision.Log, metrics Metrics) *Router {
	store := meterStore(adapter.Store, metrics)
	adapter.Store = store
	r := &Router{
		store: store, settings: config, zoneMap: config.Topology(), adapter: adapter, log: log, metrics: metrics,
		workers:       workers.NewDirectory(),
		table:         keytable.New(),
		meter:         peerlink.NewMeter(),
		reports:       make(chan peerlink.Report, reportQueueSize),
		nodes:         &atomic.Int32{},
		noLeader:      newLatch(),
		listSizeKnown: newLatch(),
		config:        newPrefixState(),
		entries:       newPrefixState(),
	}
	r.entriesView = &workersView{r: r, unreadable: map[workers.ID]unreadableEntry{}}
	r.unreadable = newUnreadableMetric(metrics)
	r.workers.OnExpired(r.entriesView.logExpired)
	r.configView = newConfigView(r)
	r.proxy = proxy.New(config.Zone, r.workers, retryLimits(config))
	r.proxy.SetTopology(r.zoneMap)
	r.proxy.SetWorkerDialer(adapter.DialWorker)
	r.proxy.Traffic = traffic.NewCounter(topology.Zone(config.Zone), r.zoneMap, metrics)
	r.proxy.Headers, r.proxy.Table, r.proxy.Meter = adapter.Headers, r.table, r.meter
	r.proxy.DrainPeriod, r.proxy.EvacuationPeriod = config.Drain.Std(), config.Evacuate.Std()
	r.proxy.Log, r.proxy.Nodes, r.proxy.Metrics = log, r.nodes, proxy.NewMetrics(metrics)
	r.proxy.MemoryBudget, r.proxy.LinkShaper = r.newMemoryBudget(), bodies.NewLinkShaper(config.Machine.LinkMbps)
	r.proxy.Starting.Store(true)
	r.configAsOf.Store(distantPast)
	if config.Revocation == settings.RevocationStrict {
		r.proxy.Outdated = r.configOutdated
	}
	r.gates = newGates(config.Machine, log)
	r.gates.register(metrics)
	r.process = rand.Text()
	r.hub = peerlink.NewHub(r.process, r.reports, r.readState)
	r.hub.Strength, r.hub.DirectNodes = config.Machine.Strength(), config.DirectRouters
	r.hub.LinkRate = config.Machine.LinkBytes()
	r.hub.Traffic, r.hub.MaxLine = r.proxy.Traffic, longestReport(config.Machine)
	r.hub.Address, r.hub.Contact = config.PeerListen, r.contact
	r.proxy.Helpers, r.proxy.ConfirmContact = r.newHelpers(), r.confirmContact
	r.election = election.New(adapter.Store, KeyPrefix, config.PeerListen, r.process, rand.Text)
	r.election.TTL = max(election.LeaseTTL, config.MinLease.Std())
	r.reach = r.proxy.Reachability
	r.grants = grantlog.New(trackedOrders{OrderSender: adapter.Orders, tracker: r.reach})
	r.hub.GrantAges = r.grants.Ages
	r.keeper = &keeper.Keeper{
		Store: adapter.Store, Prefix: KeyPrefix, Orders: r.grants, Workers: r.workers,
		Config: r.proxy.Config, Hub: r.hub, Table: r.table, Reports: r.reports, Log: log, Metrics: keeper.NewMetrics(metrics),
		SyncedAt: r.storeSyncedAt,
		Times:    owner.DefaultConfig(config.MaxHold.Std()), Nonce: rand.Text, Zone: config.Zone, Regions: r.zoneMap,
	}
	r.keeper.DistrustsFailures = r.distrustsFailures
	r.standby = standby.New(r.grants, r.keeper.Times, log)
	r.standby.Workers = r.workers
	r.hub.OnLeaderQuery(r.stopRenewing)
	r.hub.OnFollowerReport(r.meter.AddReport)
	r.hub.OnLinked(r.peers.Add)
	r.hub.OnEvidence(r.handleEvidence)
	r.quotas = newQuotas(r)
	r.proxy.Quota = r.quotas
	r.hub.OnQuota(r.quotas.handleReports)
	permits := newSuspectPermits(r)
	r.proxy.SuspectPermits = permits
	r.hub.OnSuspectPermit(permits.answer)
	r.limits = newWorkerLimits(r)
	r.keeper.Limits = r.limits.table.Rate
	r.proxy.Limits, r.hub.Limits = r.limits, r.limits.table.Table
	r.hub.OnLimits(r.limits.handleReports)
	r.hub.OnPermit(r.limits.handlePermitRequest)
	r.leaving = newLeavingWorkers(r)
	r.proxy.OnWorkerLeaving, r.hub.Leaving = r.leaving.noteLeaving, r.leaving.replica.Table()
	r.hub.OnLeaving(r.leaving.handleReports)
	r.proxy.KeyMovesBlocked = func() bool { return r.leaderStoreUnreachable.Load() || r.hub.StoreUnreachable() }
	r.keeper.OnWorkerLeaving = r.leaving.noteLeaving
	r.pipelined = pipeline.New(r.proxy, r.pipelineLimits())
	metrics.MustRegister(r.proxy, r.quotas, r.limits.permits, permits.outcomes)
	r.registerMetrics(metrics)
	return r
}

// Run serves until ctx ends, then shuts down gracefully.
func (r *Router) Run(ctx context.Context) error {
	listeners, err := r.openListeners(ctx)
	if err != nil || ctx.Err() != nil {
		listeners.close()
		return err
	}
	r.log.Line(decision.KindStart).Str("zone", r.settings.Zone).Str("listen", r.settings.Listen).
		Str("store", r.settings.Store).Int("descriptors", intake.Descriptors()).Float64("memory_mb", r.settings.Machine.MemoryMB).
		Int("connections", r.gates.clients.Limits().Conns).Int64("unfinished", r.gates.clients.Limits().Bytes).Msg("")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	leading, stopLeading := context.WithCancel(background)
	led := make(chan struct{})
	r.followOperators(background)
	go r.loadSuspects(background)
	go r.watchSuspension(background)
	go r.watchReachability(background)
	go r.proxy.Run(background)
	go r.limits.run(background)
	go r.leaving.run(background)
	forwarded := r.newForwardedServer()
	forwardedConns := newConnListener(listeners.peers.Addr())
	r.hub.OnForwarding(forwardedConns.add)
	go func() { _ = forwarded.Serve(forwardedConns) }()
	go r.hub.Serve(r.gates.peers.Listen(listeners.peers))
	go r.standby.Run(background)
	go func() {
		defer close(led)
		r.lead(leading)
	}()
	go serve(newProbeServer(r.gates.ready, r.readyHandler()), r.gates.ready, listeners.ready)
	go r.serveMetrics(background)
	server := r.newServer()
	r.pipelined.Attach(server)
	r.gates.clients.Attach(server)
	go serve(server, r.gates.clients, r.pipelined.Listen(listeners.clients))
	<-ctx.Done()
	r.drain([]*http.Server{server, forwarded}, stopLeading, led)
	listeners.close()
	r.log.Line(decision.KindStop).Msg("")
	r.log.Flush()
	return nil
}

// serve serves the connections of a listener that pass a gate, until the server is shut down.
func serve(server *http.Server, gate *intake.Gate, listener net.Listener) {
	_ = server.Serve(gate.Listen(intake.Persistent(listener)))
}

// followOperators follows what operators and workers write: the teams' bundles if the settings name
// operators, otherwise the platform's configuration and worker entries.
func (r *Router) followOperators(ctx context.Context) {
	if len(r.settings.Operators) > 0 {
		go r.followPrefix(ctx, registry.Prefix(KeyPrefix), newBundlesView(r), r.config)
		return
	}
	go r.followPrefix(ctx, r.adapter.ConfigPrefix, r.configView, r.config)
	go r.followPrefix(ctx, r.adapter.WorkersPrefix, r.entriesView, r.entries)
}

// readState returns the revisions that this process has read, and for how much longer vanished
// entries may merely have expired.
func (r *Router) readState() peerlink.ReadState {
	return peerlink.ReadState{
		Config: r.config.newestRevision(), Workers: r.entries.newestRevision(), SettleMillis: r.workers.SettlingLeft().Milliseconds(),
	}
}

// Timeouts and limits of the server for clients.
const (
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than operators leave connections idle.
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// Limits of pipelined requests.
const (
	// pipelineDepth is the limit per connection.
	pipelineDepth = 16
	// pipelineTotal is the limit over all connections. Each request takes a goroutine.
	pipelineTotal = 1024
	// pipelineHeldShare is the share of the machine's memory for responses that wait for their
	// turn; pipelineHeld is the limit in bytes if the memory size is unknown.
	pipelineHeldShare = 1.0 / 32
	pipelineHeld      = 4 << 20
)

// pipelineLimits returns the limits of pipelined requests.
func (r *Router) pipelineLimits() pipeline.Limits {
	limits := pipeline.Limits{
		UnreadBytes: int64(unreadShare * memoryBytes(r.settings.Machine)), Depth: pipelineDepth, Total: pipelineTotal, BufferedBytes: pipelineHeld, MayRunConcurrently: r.proxy.MayRunConcurrently,
	}
	if memory := r.settings.Machine.MemoryMB; memory > 0 {
		limits.BufferedBytes = int64(pipelineHeldShare * memory * (1 << 20))
	}
	return limits
}

func (r *Router) newServer() *http.Server {
	return &http.Server{
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
