// Package gateway takes callers' HTTP requests, finds the server that owns the
// key or picks a back end of a pool, sends the request, and answers.
//
// It decides nothing about ownership: it follows the table that a controller
// streams to it, and a server admits a request only under the exact fence and
// bundle version that it holds. So a stale gateway is harmless.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/ledgernode"
	"github.com/shalefork/shalefork/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("gateway")

// Dependencies are what a gateway gets from its process.
type Dependencies struct {
	Clock  clock.Source
	Logger *log.Logger
	// Registerer takes the metrics, Gatherer gives them at /metrics.
	Registerer prometheus.Registerer
	Gatherer   prometheus.Gatherer
	// Dial opens connections to back ends, controllers and other gateways. Nil
	// means TCP.
	Dial DialFunc
	// Listen opens the listeners. Nil means TCP.
	Listen ListenFunc
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ListenFunc opens a listener.
type ListenFunc func(network, address string) (net.Listener, error)

// Gateway is one running gateway.
type Gateway struct {
	settings settings.Gateway
	clock    clock.Source
	logger   *log.Logger
	gatherer prometheus.Gatherer
	metrics  *Metrics
	listen   ListenFunc
	tables   *tables
	services *services
	backends *backends
	peers    *http.Client
	// lastHeard is when a controller was last heard, on the clock (Upper).
	lastHeard atomic.Int64
	callers   *openConns
	// bodies is the memory for callers' bodies.
	bodies   *semaphore.Weighted
	ledger   *ledgernode.Node
	stopping chan struct{}
	stopOnce sync.Once
}

// Times of the gateway's connections.
const (
	// readHeaderTimeout bounds how long a caller takes to send its headers.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout bounds how long a kept-alive connection rests.
	callerIdleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the headers of a request and of an answer.
	maxHeaderBytes = 64 << 10
)

// New returns a gateway that has opened nothing yet.
func New(config settings.Gateway, dependencies Dependencies) (*Gateway, error) {
	if dependencies.Clock == nil || dependencies.Logger == nil {
		return nil, Error.New("clock and logger are required")
	}
	withDefaults(&dependencies)
	metrics := NewMetrics(dependencies.Registerer)
	gateway := &Gateway{
		settings: config,
		clock:    dependencies.Clock,
		logger:   dependencies.Logger,
		gatherer: dependencies.Gatherer,
		metrics:  metrics,
		listen:   dependencies.Listen,
		tables:   newTables(config.Cell),
		callers:  &openConns{open: map[net.Conn]struct{}{}},
		bodies:   semaphore.NewWeighted(bodyMemory),
		stopping: make(chan struct{}),
	}
	gateway.backends = newBackends(dependencies.Dial, metrics)
	gateway.services = newServices(config.Zone, metrics)
	gateway.peers = newPeerClient(config.Token, dependencies.Dial)
	gateway.ledger = ledgernode.New(ledgerConfig(config), ledgernode.Dependencies{
		Clock:     dependencies.Clock,
		Logger:    dependencies.Logger,
		Client:    gateway.peers,
		Directory: directory{gateway.tables},
		Metrics:   ledgernode.NewMetrics(dependencies.Registerer),
	})
	return gateway, nil
}

func withDefaults(dependencies *Dependencies) {
	if dependencies.Dial == nil {
		dependencies.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if dependencies.Listen == nil {
		dependencies.Listen = net.Listen
	}
	if dependencies.Registerer == nil {
		dependencies.Registerer = prometheus.NewRegistry()
	}
	if dependencies.Gatherer == nil {
		dependencies.Gatherer = prometheus.DefaultGatherer
	}
}

// Run serves until ctx ends, then drains: it stops listening, finishes every
// request in flight however slow, and returns nil. It returns an error only if
// it cannot listen.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := g.listen("tcp", g.settings.Listen)
	if err != nil {
		return Error.Wrap(err)
	}
	peers, err := g.listen("tcp", g.settings.PeerListen)
	if err != nil {
		_ = callers.Close()
		return Error.Wrap(err)
	}
	return g.serve(ctx, callers, peers)
}

// serve keeps the table, the probes and the peer port alive until the last
// request in flight is answered.
func (g *Gateway) serve(ctx context.Context, callers, peers net.Listener) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	callerServer := g.newServer(http.HandlerFunc(g.ServeHTTP))
	callerServer.ConnState = g.callers.track
	peerServer := g.newServer(g.peerHandler())
	group, _ := errgroup.WithContext(background)
	group.Go(func() error { return g.follow(background) })
	group.Go(func() error { return g.probe(background) })
	group.Go(func() error { return g.ledger.Run(background) })
	group.Go(func() error { return ignoreClosed(callerServer.Serve(callers)) })
	group.Go(func() error { return ignoreClosed(peerServer.Serve(peers)) })
	<-ctx.Done()
	g.drain(callerServer, callers)
	stopBackground()
	_ = peerServer.Close()
	g.backends.close()
	g.peers.CloseIdleConnections()
	return Error.Wrap(group.Wait())
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
