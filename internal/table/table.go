// Package table holds a gateway's copy of a cell's routing: which server owns
// each slice, which servers there are, and the bundles they follow.
//
// A Table is immutable. Apply returns a changed one that shares what did not
// change, so a gateway keeps the current table in an atomic pointer and routes
// without locks. A stale table is harmless: a server runs a request only under
// the exact fence and bundle version that it holds.
package table

import (
	"sort"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Table is the routing of one cell at one version.
type Table struct {
	cell       bundle.CellName
	version    wire.TableVersion
	partitions map[partitionKey]entries
	// pools holds the shared entries of each pool, ordered by partition.
	pools   map[keyspace.ServiceName]entries
	servers map[bundle.ServerName]wire.TableServer
	bundles map[bundle.TeamName]bundle.Bundle
}

// partitionKey names a partition across services.
type partitionKey struct {
	service   keyspace.ServiceName
	partition keyspace.PartitionName
}

// entries are ordered by the first hash and never overlap.
type entries []wire.TableEntry

// New returns the empty table of a cell, older than any update.
func New(cell bundle.CellName) *Table {
	return &Table{
		cell:       cell,
		partitions: map[partitionKey]entries{},
		pools:      map[keyspace.ServiceName]entries{},
		servers:    map[bundle.ServerName]wire.TableServer{},
		bundles:    map[bundle.TeamName]bundle.Bundle{},
	}
}

// Cell returns the cell that the table is of.
func (t *Table) Cell() bundle.CellName {
	return t.cell
}

// Version returns the version of the last update applied.
func (t *Table) Version() wire.TableVersion {
	return t.version
}

// Lookup returns the entry of the slice that holds hash, by binary search. It
// returns false if the partition is unknown or no slice holds the hash.
func (t *Table) Lookup(service keyspace.ServiceName, partition keyspace.PartitionName, hash keyspace.Hash) (wire.TableEntry, bool) {
	held := t.partitions[partitionKey{service, partition}]
	after := sort.Search(len(held), func(i int) bool { return held[i].Slice.Range.First > hash })
	if after == 0 || !held[after-1].Slice.Range.Contains(hash) {
		return wire.TableEntry{}, false
	}
	return held[after-1], true
}

// Pool returns the entries of a pool's back ends, ordered by name. The caller
// must not change them.
func (t *Table) Pool(service keyspace.ServiceName) []wire.TableEntry {
	return t.pools[service]
}

// FindServer returns a server's entry among those of a pool, and false if the
// server is none of its back ends.
func FindServer(pool []wire.TableEntry, server bundle.ServerName) (wire.TableEntry, bool) {
	for _, entry := range pool {
		if entry.Server == server {
			return entry, true
		}
	}
	return wire.TableEntry{}, false
}

// Server returns what is known of a server.
func (t *Table) Server(name bundle.ServerName) (wire.TableServer, bool) {
	server, found := t.servers[name]
	return server, found
}

// Servers returns all servers by name. The caller must not change the map.
func (t *Table) Servers() map[bundle.ServerName]wire.TableServer {
	return t.servers
}

// Bundle returns the adopted bundle of a team.
func (t *Table) Bundle(team bundle.TeamName) (bundle.Bundle, bool) {
	adopted, found := t.bundles[team]
	return adopted, found
}

// Bundles returns the adopted bundles by team. The caller must not change the
// map.
func (t *Table) Bundles() map[bundle.TeamName]bundle.Bundle {
	return t.bundles
}
