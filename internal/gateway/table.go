package gateway

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// Errors of a table update.
var (
	errNotApplied  = errs.New("the update does not apply to the table")
	errNeedsWhole  = errs.New("the update does not fit; a snapshot is needed")
	errOlderBundle = errs.New("the update holds an older bundle")
)

// view is a table made ready for requests. It is immutable.
type view struct {
	table  *table.Table
	routes routes
	// gateways are the servers of the ledger service, ordered by name.
	gateways []wire.TableServer
}

func newView(held *table.Table) *view {
	made := &view{table: held, routes: newRoutes(held.Bundles())}
	for name, server := range held.Servers() {
		if strings.HasPrefix(string(name), ledger.ServerPrefix) {
			made.gateways = append(made.gateways, server)
		}
	}
	slices.SortFunc(made.gateways, func(a, b wire.TableServer) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return made
}

// owner returns the entry of the slice that holds hash, and its server; false
// if nobody is known to own it.
func (v *view) owner(service keyspace.ServiceName, partition keyspace.PartitionName, hash keyspace.Hash) (target, bool) {
	entry, ok := v.table.Lookup(service, partition, hash)
	if !ok {
		return target{}, false
	}
	server, ok := v.table.Server(entry.Server)
	return target{entry: entry, server: server}, ok
}

// share is this gateway's part of a back end's connection limit; zero means
// that there is no limit.
func (v *view) share(connections int) int {
	if connections == 0 {
		return 0
	}
	return max(1, connections/max(1, len(v.gateways)))
}

// tables holds the newest table and tells when it changes.
type tables struct {
	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	view    atomic.Pointer[view]
}

func newTables(cell bundle.CellName) *tables {
	held := &tables{changed: make(chan struct{})}
	held.view.Store(newView(table.New(cell)))
	return held
}

// apply takes an update; the table, and each team's bundle, never go back to an
// older version. prepare is called with the new view before any request sees it.
func (t *tables) apply(update wire.TableUpdate, prepare func(*view)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.view.Load().table
	for _, offered := range update.Bundles {
		if known, ok := held.Bundle(offered.Team); ok && known.Version > offered.Version {
			return errOlderBundle
		}
	}
	next, outcome := held.Apply(update)
	if err := applyError(outcome); err != nil {
		return err
	}
	made := newView(next)
	prepare(made)
	t.view.Store(made)
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func applyError(outcome table.Outcome) error {
	switch outcome {
	case table.OutcomeApplied:
		return nil
	case table.OutcomeGap, table.OutcomeMalformed:
		return errNeedsWhole
	default:
		return errNotApplied
	}
}

// current returns the newest view and a channel closed when it is replaced.
func (t *tables) current() (*view, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.Load(), t.changed
}
