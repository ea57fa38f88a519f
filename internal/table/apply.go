package table

import (
	"cmp"
	"maps"
	"slices"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Outcome says what Apply did with an update.
type Outcome string

// Outcomes of Apply. Only OutcomeApplied gives a changed table.
const (
	OutcomeApplied Outcome = "applied"
	// OutcomeHeartbeat: the line only shows that the controller lives.
	OutcomeHeartbeat Outcome = "heartbeat"
	// OutcomeStale: the update is older than the table.
	OutcomeStale Outcome = "stale"
	// OutcomeGap: the delta is for another table; ask for a snapshot.
	OutcomeGap Outcome = "gap"
	// OutcomeOtherCell: the update is of another cell.
	OutcomeOtherCell Outcome = "other-cell"
	// OutcomeMalformed: slices would overlap; ask for a snapshot.
	OutcomeMalformed Outcome = "malformed"
)

// Apply returns the table after the update. The receiver is not changed, and
// is itself returned with every outcome but OutcomeApplied. A table never
// goes back to an older version.
func (t *Table) Apply(update wire.TableUpdate) (*Table, Outcome) {
	if outcome := t.check(update); outcome != OutcomeApplied {
		return t, outcome
	}
	next := t.copyFor(update)
	next.version = update.Version
	next.applyServers(update)
	for _, adopted := range update.Bundles {
		next.bundles[adopted.Team] = adopted
	}
	if !next.applyEntries(update) {
		return t, OutcomeMalformed
	}
	return next, OutcomeApplied
}

func (t *Table) check(update wire.TableUpdate) Outcome {
	if update.Cell != t.cell {
		return OutcomeOtherCell
	}
	if update.Heartbeat {
		return OutcomeHeartbeat
	}
	if t.version.Newer(update.Version) {
		return OutcomeStale
	}
	if !update.Snapshot && update.From != t.version {
		return OutcomeGap
	}
	return OutcomeApplied
}

// copyFor copies the maps that the update changes and shares the others.
func (t *Table) copyFor(update wire.TableUpdate) *Table {
	if update.Snapshot {
		return New(t.cell)
	}
	next := *t
	if len(update.Servers) > 0 || len(update.RemovedServers) > 0 {
		next.servers = maps.Clone(t.servers)
	}
	if len(update.Bundles) > 0 {
		next.bundles = maps.Clone(t.bundles)
	}
	if len(update.Assignments) > 0 || len(update.Removed) > 0 {
		next.partitions = maps.Clone(t.partitions)
		next.pools = maps.Clone(t.pools)
	}
	return &next
}

func (t *Table) applyServers(update wire.TableUpdate) {
	for _, name := range update.RemovedServers {
		delete(t.servers, name)
	}
	for _, server := range update.Servers {
		t.servers[server.Name] = server
	}
}

// change gathers what an update says of one partition.
type change struct {
	removed map[keyspace.Slice]bool
	added   entries
}

// applyEntries rebuilds the partitions that the update names. It returns false
// if slices of one would overlap.
func (t *Table) applyEntries(update wire.TableUpdate) bool {
	for key, changed := range changesOf(update) {
		rebuilt := rebuild(t.partitions[key], changed)
		if !ordered(rebuilt) {
			return false
		}
		t.setPartition(key, rebuilt)
	}
	return true
}

func changesOf(update wire.TableUpdate) map[partitionKey]*change {
	changes := map[partitionKey]*change{}
	of := func(slice keyspace.Slice) *change {
		key := partitionKey{slice.Service, slice.Partition}
		if changes[key] == nil {
			changes[key] = &change{removed: map[keyspace.Slice]bool{}}
		}
		return changes[key]
	}
	for _, slice := range update.Removed {
		of(slice).removed[slice] = true
	}
	for _, entry := range update.Assignments {
		changed := of(entry.Slice)
		changed.removed[entry.Slice] = true
		changed.added = append(changed.added, entry)
	}
	return changes
}

func rebuild(held entries, changed *change) entries {
	rebuilt := make(entries, 0, len(held)+len(changed.added))
	for _, entry := range held {
		if !changed.removed[entry.Slice] {
			rebuilt = append(rebuilt, entry)
		}
	}
	rebuilt = append(rebuilt, changed.added...)
	slices.SortFunc(rebuilt, func(a, b wire.TableEntry) int {
		return cmp.Compare(a.Slice.Range.First, b.Slice.Range.First)
	})
	return rebuilt
}

func ordered(held entries) bool {
	for i, entry := range held {
		if entry.Slice.Range.First > entry.Slice.Range.Last {
			return false
		}
		if i > 0 && held[i-1].Slice.Range.Overlaps(entry.Slice.Range) {
			return false
		}
	}
	return true
}

func (t *Table) setPartition(key partitionKey, rebuilt entries) {
	if len(rebuilt) == 0 {
		delete(t.partitions, key)
	} else {
		t.partitions[key] = rebuilt
	}
	t.setPool(key, rebuilt)
}

// setPool replaces the entries of one back end in its pool's list.
func (t *Table) setPool(key partitionKey, rebuilt entries) {
	var pool entries
	for _, entry := range t.pools[key.service] {
		if entry.Slice.Partition != key.partition {
			pool = append(pool, entry)
		}
	}
	for _, entry := range rebuilt {
		if entry.Shared {
			pool = append(pool, entry)
		}
	}
	if len(pool) == 0 {
		delete(t.pools, key.service)
		return
	}
	slices.SortFunc(pool, func(a, b wire.TableEntry) int {
		return cmp.Compare(a.Slice.Partition, b.Slice.Partition)
	})
	t.pools[key.service] = pool
}
