package table_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

func entry(partition keyspace.PartitionName, first, last keyspace.Hash, fence wire.Fence) wire.TableEntry {
	return wire.TableEntry{
		Slice: keyspace.Slice{Service: "t/s", Partition: partition, Range: keyspace.Range{First: first, Last: last}},
		Fence: fence,
	}
}

func version(index uint64) wire.TableVersion {
	return wire.TableVersion{Generation: 1, Index: index}
}

func snapshot() wire.TableUpdate {
	full := keyspace.FullRange()
	shared := entry("x", full.First, full.Last, 9)
	shared.Shared = true
	return wire.TableUpdate{
		Cell: "c", Version: version(5), Snapshot: true,
		Assignments: []wire.TableEntry{entry("p", 100, 199, 2), entry("p", 0, 99, 1), entry("p", 300, full.Last, 3), shared},
		Servers:     []wire.TableServer{{Name: "t/s/x", Address: "x:1"}},
	}
}

func TestLookup(t *testing.T) {
	routes, outcome := table.New("c").Apply(snapshot())
	assert.Equal(t, outcome, table.OutcomeApplied)
	for hash, fence := range map[keyspace.Hash]wire.Fence{0: 1, 99: 1, 100: 2, 199: 2, 300: 3, keyspace.FullRange().Last: 3} {
		found, ok := routes.Lookup("t/s", "p", hash)
		assert.Assert(t, ok)
		assert.Equal(t, found.Fence, fence)
	}
	_, ok := routes.Lookup("t/s", "p", 250)
	assert.Assert(t, !ok, "a hash in the gap was found")
	_, ok = routes.Lookup("t/s", "none", 0)
	assert.Assert(t, !ok)
	assert.Equal(t, len(routes.Pool("t/s")), 1)
}

func TestApplyOutcomes(t *testing.T) {
	routes, _ := table.New("c").Apply(snapshot())
	update := func(change func(*wire.TableUpdate)) wire.TableUpdate {
		made := wire.TableUpdate{Cell: "c", From: version(5), Version: version(6)}
		change(&made)
		return made
	}
	cases := map[table.Outcome]wire.TableUpdate{
		table.OutcomeOtherCell: update(func(u *wire.TableUpdate) { u.Cell = "d" }),
		table.OutcomeHeartbeat: update(func(u *wire.TableUpdate) { u.Heartbeat = true }),
		table.OutcomeStale:     update(func(u *wire.TableUpdate) { u.Version = version(4); u.Snapshot = true }),
		table.OutcomeGap:       update(func(u *wire.TableUpdate) { u.From = version(4) }),
		table.OutcomeMalformed: update(func(u *wire.TableUpdate) { u.Assignments = []wire.TableEntry{entry("p", 50, 60, 4)} }),
	}
	for want, given := range cases {
		same, outcome := routes.Apply(given)
		assert.Equal(t, outcome, want)
		assert.Assert(t, same == routes)
	}
}

func TestDeltaLeavesTheFormerTableAsItWas(t *testing.T) {
	before, _ := table.New("c").Apply(snapshot())
	delta := wire.TableUpdate{
		Cell: "c", From: version(5), Version: version(6),
		Removed:     []keyspace.Slice{entry("p", 100, 199, 0).Slice},
		Assignments: []wire.TableEntry{entry("p", 100, 299, 8)},
	}
	after, outcome := before.Apply(delta)
	assert.Equal(t, outcome, table.OutcomeApplied)
	found, _ := after.Lookup("t/s", "p", 250)
	assert.Equal(t, found.Fence, wire.Fence(8))
	former, _ := before.Lookup("t/s", "p", 150)
	assert.Equal(t, former.Fence, wire.Fence(2))
	_, ok := before.Lookup("t/s", "p", 250)
	assert.Assert(t, !ok)
}

func BenchmarkLookup(b *testing.B) {
	update := wire.TableUpdate{Cell: "c", Version: version(1), Snapshot: true}
	for _, hashes := range keyspace.SplitEvenly(4096) {
		update.Assignments = append(update.Assignments, entry("p", hashes.First, hashes.Last, 1))
	}
	routes, _ := table.New("c").Apply(update)
	hash := keyspace.Hash(0)
	for b.Loop() {
		hash += 1 << 50
		routes.Lookup("t/s", "p", hash)
	}
}
