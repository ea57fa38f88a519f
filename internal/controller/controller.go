package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("controller")

// Dependencies are what a controller reaches the world through.
type Dependencies struct {
	Store      platform.Store
	Machines   platform.Machines
	Clock      clock.Source
	Logger     *log.Logger
	Registerer prometheus.Registerer
	// Random gives uniform 64-bit numbers and is safe for concurrent use. Nil
	// means math/rand/v2's, which the runtime seeds.
	Random func() uint64
	// Transport carries requests to servers and other controllers. Nil means
	// HTTP over TCP.
	Transport http.RoundTripper
	// Listener takes requests. Nil means TCP on settings.Listen.
	Listener net.Listener
}

// Controller is one controller process.
type Controller struct {
	settings  settings.Controller
	times     times
	store     platform.Store
	machines  platform.Machines
	clock     clock.Source
	logger    *log.Logger
	metrics   *Metrics
	gatherer  prometheus.Gatherer
	random    func() uint64
	operators operators
	client    *http.Client
	listener  net.Listener
	tables    *tableHub

	events  chan event
	ticks   chan struct{}
	pollNow chan struct{}
	// presenceNow makes the keeper of the presence look at the identity.
	presenceNow chan struct{}
	// stopping is closed when a planned stop begins; it ends open streams.
	stopping chan struct{}
	identity atomic.Pointer[identity]
	view     atomic.Pointer[view]
	// following says that this standby hears a member's table stream.
	following atomic.Bool
	// readLimit bounds the admin API's reads, which need no secret, and
	// writeLimit its writes by known operators.
	readLimit  *rate.Limiter
	writeLimit *rate.Limiter

	// tasks are the short-lived goroutines that the loop has started.
	tasks sync.WaitGroup
}

// New checks the operators' keys and returns a controller that is not running.
func New(settings settings.Controller, dependencies Dependencies) (*Controller, error) {
	known, err := parseOperators(settings.Operators)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		settings:  settings,
		times:     newTimes(settings.Times),
		store:     dependencies.Store,
		machines:  dependencies.Machines,
		clock:     dependencies.Clock,
		logger:    dependencies.Logger,
		metrics:   NewMetrics(dependencies.Registerer),
		random:    dependencies.Random,
		operators: known,
		listener:  dependencies.Listener,
		tables:    newTableHub(),
		events:    make(chan event, eventQueue),
		ticks:     make(chan struct{}, 1),
		pollNow:   make(chan struct{}, 1),
		stopping:  make(chan struct{}),

		presenceNow: make(chan struct{}, 1),
	}
	c.readLimit = rate.NewLimiter(adminRate, adminBurst)
	c.writeLimit = rate.NewLimiter(adminRate, adminBurst)
	c.gatherer, _ = dependencies.Registerer.(prometheus.Gatherer)
	if c.random == nil {
		c.random = rand.Uint64
	}
	c.client = newClient(settings.Token, dependencies.Transport)
	c.identity.Store(c.newIdentity())
	c.view.Store(&view{})
	return c, nil
}

// newClient returns the client for servers and other controllers. Each request
// carries its own deadline.
func newClient(token string, base http.RoundTripper) *http.Client {
	if base == nil {
		base = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}
	}
	return &http.Client{Transport: &peerauth.Transport{Token: token, Base: base}}
}

// idleConnections is how many idle connections to one peer are kept.
const idleConnections = 4

// Run serves until ctx ends, then stops in order: it answers open requests,
// and deletes its presence. It returns nil after a planned stop.
func (c *Controller) Run(ctx context.Context) error {
	listener, err := c.listen()
	if err != nil {
		return err
	}
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return c.serve(running, listener) })
	group.Go(func() error { return c.runLoop(running) })
	group.Go(func() error { return c.runTicks(running) })
	group.Go(func() error { return c.keepPresence(running) })
	group.Go(func() error { return c.pollGroup(running) })
	group.Go(func() error { return c.followTable(running) })
	group.Go(func() error { return c.watchForEnd(running) })
	err = group.Wait()
	c.tasks.Wait()
	c.client.CloseIdleConnections()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (c *Controller) listen() (net.Listener, error) {
	if c.listener != nil {
		return c.listener, nil
	}
	listener, err := net.Listen("tcp", c.settings.Listen)
	return listener, Error.Wrap(err)
}
