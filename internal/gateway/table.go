package gateway

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Errors of a table update.
var (
	errOlderTable   = errs.New("the update is older than the table")
	errDeltaMisfit  = errs.New("the delta does not follow the table")
	errForeignTable = errs.New("the update is for another cell")
	errOlderBundle  = errs.New("the update holds an older bundle")
)

// table is an immutable copy of the cell's table.
type table struct {
	version wire.TableVersion
	bundles map[bundle.TeamName]bundle.Bundle
	entries map[keyspace.Slice]wire.TableEntry
	servers map[bundle.ServerName]wire.TableServer
}

func newTable() *table {
	return &table{
		bundles: map[bundle.TeamName]bundle.Bundle{},
		entries: map[keyspace.Slice]wire.TableEntry{},
		servers: map[bundle.ServerName]wire.TableServer{},
	}
}

// apply returns the table after the update. The receiver is not changed.
func (t *table) apply(cell bundle.CellName, update wire.TableUpdate) (*table, error) {
	if update.Cell != cell {
		return t, errForeignTable
	}
	if t.version.Newer(update.Version) {
		return t, errOlderTable
	}
	if !update.Snapshot && update.From != t.version {
		return t, errDeltaMisfit
	}
	next := t.base(update)
	next.version = update.Version
	for _, changed := range update.Bundles {
		if t.bundles[changed.Team].Version > changed.Version {
			return t, errOlderBundle
		}
		next.bundles[changed.Team] = changed
	}
	next.applyEntries(update)
	return next, nil
}

// base is what an update starts from: nothing for a snapshot, save the bundles,
// whose versions never fall.
func (t *table) base(update wire.TableUpdate) *table {
	next := newTable()
	for team, held := range t.bundles {
		next.bundles[team] = held
	}
	if update.Snapshot {
		return next
	}
	for slice, entry := range t.entries {
		next.entries[slice] = entry
	}
	for name, server := range t.servers {
		next.servers[name] = server
	}
	return next
}

func (t *table) applyEntries(update wire.TableUpdate) {
	for _, slice := range update.Removed {
		delete(t.entries, slice)
	}
	for _, entry := range update.Assignments {
		t.entries[entry.Slice] = entry
	}
	for _, name := range update.RemovedServers {
		delete(t.servers, name)
	}
	for _, server := range update.Servers {
		t.servers[server.Name] = server
	}
}

// partitionKey names a partition of a service.
type partitionKey struct {
	service   keyspace.ServiceName
	partition keyspace.PartitionName
}

// view is a table made ready for look-ups. It is immutable.
type view struct {
	version wire.TableVersion
	routes  routes
	// keyed entries of each partition, ordered by range.
	keyed map[partitionKey][]wire.TableEntry
	// shared entries of each pool, ordered by server.
	shared  map[keyspace.ServiceName][]wire.TableEntry
	servers map[bundle.ServerName]wire.TableServer
	// gateways are the servers of the ledger service, ordered by name.
	gateways []wire.TableServer
}

func newView(from *table) *view {
	made := &view{
		version: from.version,
		routes:  newRoutes(from.bundles),
		keyed:   map[partitionKey][]wire.TableEntry{},
		shared:  map[keyspace.ServiceName][]wire.TableEntry{},
		servers: from.servers,
	}
	made.addEntries(from.entries)
	made.addGateways(from.servers)
	return made
}

func (v *view) addEntries(entries map[keyspace.Slice]wire.TableEntry) {
	for slice, entry := range entries {
		if entry.Shared {
			v.shared[slice.Service] = append(v.shared[slice.Service], entry)
			continue
		}
		key := partitionKey{slice.Service, slice.Partition}
		v.keyed[key] = append(v.keyed[key], entry)
	}
	for _, list := range v.keyed {
		slices.SortFunc(list, byRange)
	}
	for _, list := range v.shared {
		slices.SortFunc(list, func(a, b wire.TableEntry) int {
			return strings.Compare(string(a.Server), string(b.Server))
		})
	}
}

func byRange(a, b wire.TableEntry) int {
	switch {
	case a.Slice.Range.First < b.Slice.Range.First:
		return -1
	case a.Slice.Range.First > b.Slice.Range.First:
		return 1
	default:
		return 0
	}
}

func (v *view) addGateways(servers map[bundle.ServerName]wire.TableServer) {
	for name, server := range servers {
		if strings.HasPrefix(string(name), ledgerServerPrefix) {
			v.gateways = append(v.gateways, server)
		}
	}
	slices.SortFunc(v.gateways, func(a, b wire.TableServer) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

// lookup returns the entry of the slice that holds hash; false if none does.
func (v *view) lookup(key partitionKey, hash keyspace.Hash) (wire.TableEntry, bool) {
	list := v.keyed[key]
	after, _ := slices.BinarySearchFunc(list, hash, func(entry wire.TableEntry, hash keyspace.Hash) int {
		if entry.Slice.Range.First <= hash {
			return -1
		}
		return 1
	})
	if after == 0 || !list[after-1].Slice.Range.Contains(hash) {
		return wire.TableEntry{}, false
	}
	return list[after-1], true
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
	cell    bundle.CellName
	mu      sync.Mutex
	table   *table
	changed chan struct{} // closed at the next change
	view    atomic.Pointer[view]
}

func newTables(cell bundle.CellName) *tables {
	held := &tables{cell: cell, table: newTable(), changed: make(chan struct{})}
	held.view.Store(newView(held.table))
	return held
}

// apply takes an update; the table never goes back to an older version. prepare
// is called with the new view before any request can see it.
func (t *tables) apply(update wire.TableUpdate, prepare func(*view)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, err := t.table.apply(t.cell, update)
	if err != nil {
		return err
	}
	t.table = next
	made := newView(next)
	prepare(made)
	t.view.Store(made)
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

// current returns the newest view and a channel closed when it is replaced.
func (t *tables) current() (*view, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.Load(), t.changed
}
