// Package ledgernode is a gateway's part in the idempotency ledger: it owns
// slices of it under the same fenced grants as any server, holds copies of
// others' records, and asks the owners on behalf of its own callers.
//
// The rules are in package ledger; this package does the I/O.
package ledgernode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// Error is the class of errors of this package.
var Error = errs.Class("ledger node")

// Defaults of Config.
const (
	DefaultLimit     = 200_000
	DefaultRetention = 24 * time.Hour
)

// longestRun is the time that a request may run beside the retention of its
// record. A service whose deadline is longer needs a longer retention.
const longestRun = time.Hour

// Config of a node.
type Config struct {
	Cell bundle.CellName
	// Self is this gateway as a server of the ledger; Address is its peer port.
	Self    bundle.ServerName
	Address string
	Zone    bundle.Zone
	// Controllers take the registration.
	Controllers []string
	// Limit bounds the records held; zero means DefaultLimit.
	Limit int
	// Retention of a finished record; zero means DefaultRetention.
	Retention time.Duration
	// Doubt is how long keys that are not found are refused while records may
	// be missing; zero means Retention and longestRun.
	Doubt time.Duration
}

// Directory is what the node needs of the gateway's table.
type Directory interface {
	// Version of the table.
	Version() wire.TableVersion
	// Gateways lists the servers of the ledger, ordered by name.
	Gateways() []wire.TableServer
	// Owner returns the entry that holds the hash, and its server.
	Owner(hash keyspace.Hash) (wire.TableEntry, wire.TableServer, bool)
	// Changed returns a channel that is closed at the table's next change.
	Changed() <-chan struct{}
}

// Dependencies of a node.
type Dependencies struct {
	Clock     clock.Source
	Logger    *log.Logger
	Client    *http.Client // adds the token
	Directory Directory
	Metrics   *Metrics
}

// Node is one gateway's part in the ledger. It is safe for concurrent use.
type Node struct {
	config    Config
	clock     clock.Source
	logger    *log.Logger
	client    *http.Client
	directory Directory
	metrics   *Metrics
	self      ledger.Holder

	mu       sync.Mutex
	holder   *lease.Holder
	book     *ledger.Book
	vouched  ledger.Tenures
	promised ledger.Tenures
	// testimonies keeps what was said to each takeover, so that one whose answer
	// was lost hears the same again.
	testimonies map[takeoverID]ledger.Testimony
	tenures     map[wire.SliceFence]*tenure
	peers       map[bundle.ServerName]*peer
	seen        map[bundle.ServerName]seenGateway
	// relieved holds when (n.now) a gateway said that it leaves and that all
	// owners have relieved it.
	relieved map[bundle.ServerName]time.Duration
	// metOthers says that the table has named another gateway.
	metOthers bool
	// leaving says that this gateway takes no copies any more.
	leaving bool
	// syncNow asks for a round of sync at once.
	syncNow chan struct{}
	// registering ends before running if the gateway leaves.
	registering     context.Context
	stopRegistering context.CancelFunc
	sequence        uint64
	// running ends, by stop, when Run does; takeovers run under it.
	running context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup
}

// New returns a node that holds nothing.
func New(config Config, dependencies Dependencies) *Node {
	if config.Limit == 0 {
		config.Limit = DefaultLimit
	}
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	if config.Doubt == 0 {
		config.Doubt = config.Retention + longestRun
	}
	incarnation := newIncarnation()
	running, stop := context.WithCancel(context.Background())
	registering, stopRegistering := context.WithCancel(running)
	return &Node{
		running:     running,
		stop:        stop,
		syncNow:     make(chan struct{}, 1),
		relieved:    map[bundle.ServerName]time.Duration{},
		registering: registering,

		stopRegistering: stopRegistering,

		config:      config,
		clock:       dependencies.Clock,
		logger:      dependencies.Logger,
		client:      dependencies.Client,
		directory:   dependencies.Directory,
		metrics:     dependencies.Metrics,
		self:        ledger.Holder{Name: config.Self, Incarnation: incarnation},
		holder:      lease.NewHolder(config.Cell, incarnation),
		book:        ledger.NewBook(config.Limit, config.Retention),
		testimonies: map[takeoverID]ledger.Testimony{},
		tenures:     map[wire.SliceFence]*tenure{},
		peers:       map[bundle.ServerName]*peer{},
		seen:        map[bundle.ServerName]seenGateway{},
	}
}

// newIncarnation draws the name of this run of the process.
func newIncarnation() wire.Incarnation {
	return wire.Incarnation(formatHex(rand.Uint64()) + formatHex(rand.Uint64()))
}

// Periods of the node's own work.
const (
	registerEvery = 3 * time.Second
	syncEvery     = 2 * time.Second
	expireEvery   = 10 * time.Second
)

// Run registers the node, keeps second copies in place and forgets records
// whose time is over, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.work.Go(func() { every(n.registering, nil, registerEvery, func() { n.register(n.registering) }) })
	n.work.Go(func() { every(ctx, n.syncNow, syncEvery, func() { n.sync(ctx) }) })
	n.work.Go(func() { every(ctx, nil, expireEvery, n.expire) })
	<-ctx.Done()
	n.mu.Lock()
	n.stop() // under the lock, so that no takeover starts afterwards
	n.mu.Unlock()
	n.work.Wait()
	return nil
}

// every calls do at once, then once in a period and when now says so, until ctx
// ends.
func every(ctx context.Context, now <-chan struct{}, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		do()
		select {
		case <-ticker.C:
		case <-now:
		case <-ctx.Done():
		}
	}
}

func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.book.Expire(n.now())
	n.metrics.Records.Set(float64(n.book.Len()))
}

// now is the time of records. The lower bound counts, so that a record is kept
// long enough whatever clock is believed.
func (n *Node) now() time.Duration {
	return n.clock.Now().Lower
}

// Drain asks the controllers to move the node's slices to other gateways.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holder.Drain()
}

// Idle reports whether the node owns nothing.
func (n *Node) Idle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder.Idle(n.clock.Now())
}

// grantOf returns the grant of a table entry.
func grantOf(entry wire.TableEntry) ledger.Grant {
	return ledger.Grant{Slice: entry.Slice, Fence: entry.Fence, Bundle: entry.Bundle}
}

func (n *Node) admit(grant ledger.Grant) (lease.Ticket, wire.Reason) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder.Admit(n.clock.Now(), n.config.Cell, grant.Slice, grant.Fence, grant.Bundle)
}

func (n *Node) finishTicket(ticket lease.Ticket) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holder.Finish(ticket)
}

// checkTicket tells whether the grant has held since the ticket was given.
func (n *Node) checkTicket(ticket lease.Ticket) wire.Reason {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder.Check(n.clock.Now(), ticket)
}
