package keytable

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// drawOwners generates owners that cover all keys.
func drawOwners(t *rapid.T, label string) []owner.Owner {
	cuts := rapid.SliceOfNDistinct(rapid.IntRange(1, owner.KeyCount-1), 0, 12, rapid.ID[int]).Draw(t, label)
	marks := map[int]bool{}
	for _, cut := range cuts {
		marks[cut] = true
	}
	var owners []owner.Owner
	from := 0
	for key := 1; key <= owner.KeyCount; key++ {
		if key < owner.KeyCount && !marks[key] {
			continue
		}
		worker := workers.ID(fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, label+" worker")))
		owners = append(owners, owner.Owner{
			Keys: owner.KeyRange{From: from, To: key - 1}, Worker: worker, Address: string(worker),
			Moving: rapid.Bool().Draw(t, label+" moving"),
		})
		from = key
	}
	return owners
}

// A follower that applies the difference has the same owners as the leader.
func TestApplyingDifferenceYieldsNewOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawOwners(t, "before"), drawOwners(t, "after")
		table := New()
		table.Replace(1, "s", before)
		table.Apply("s", Change{Term: 1, Version: 1, Owners: Difference(before, after)})
		probe := func(key int) {
			held, known := table.Lookup("s", key)
			if !known {
				t.Fatalf("key %d has no owner", key)
			}
			for _, want := range after {
				if want.Keys.Contains(key) && (want.Worker != held.Worker || want.Moving != held.Moving) {
					t.Fatalf("key %d: %v, should be %v", key, held, want)
				}
			}
		}
		for _, list := range [][]owner.Owner{before, after} {
			for _, one := range list {
				probe(one.Keys.From)
				probe(one.Keys.To)
			}
		}
	})
}

func TestUpdatesOfEarlierLeaderAreIgnored(t *testing.T) {
	allKeys := func(worker workers.ID) []owner.Owner {
		return []owner.Owner{{Keys: owner.KeyRange{From: 0, To: owner.KeyCount - 1}, Worker: worker}}
	}
	table := New()
	table.Replace(3, "s", allKeys("new"))
	table.Replace(2, "s", allKeys("old"))
	table.Apply("s", Change{Term: 2, Version: 9, Owners: allKeys("old")})
	held, known := table.Lookup("s", 7)
	assert.Assert(t, known)
	assert.Equal(t, held.Worker, workers.ID("new"))
	term, _ := table.Age()
	assert.Equal(t, term, owner.Term(3))
}

// A process that changes from one relay to another may receive changes there that it already has,
// or older ones.
func TestOutdatedChangesAreIgnored(t *testing.T) {
	oneRange := func(from, to int, worker workers.ID) []owner.Owner {
		return []owner.Owner{{Keys: owner.KeyRange{From: from, To: to}, Worker: worker}}
	}
	for name, test := range map[string]struct {
		change Change
		want   workers.ID
	}{
		"older, full":               {change: Change{Term: 3, Version: 4, Full: true, Owners: oneRange(0, owner.KeyCount-1, "b")}, want: "a"},
		"older, of some keys":       {change: Change{Term: 3, Version: 4, Owners: oneRange(7, 7, "b")}, want: "a"},
		"a repeated change":         {change: Change{Term: 3, Version: 5, Full: true, Owners: oneRange(0, owner.KeyCount-1, "a")}, want: "a"},
		"newer, of some keys":       {change: Change{Term: 3, Version: 6, Owners: oneRange(7, 7, "b")}, want: "b"},
		"of a later leader, full":   {change: Change{Term: 4, Version: 1, Full: true, Owners: oneRange(0, owner.KeyCount-1, "b")}, want: "b"},
		"newer, of an older leader": {change: Change{Term: 2, Version: 9, Full: true, Owners: oneRange(0, owner.KeyCount-1, "b")}, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			table.Apply("s", Change{Term: 3, Version: 5, Full: true, Owners: oneRange(0, owner.KeyCount-1, "a")})
			table.Apply("s", test.change)
			held, known := table.Lookup("s", 7)
			assert.Assert(t, known)
			assert.Equal(t, held.Worker, test.want)
		})
	}
}

// Owners that arrive in pieces replace all owners before. Until the last piece has arrived, the
// table has the previous version, so that it does not count as complete.
func TestOwnersArriveInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawOwners(t, "before"), drawOwners(t, "after")
		table := New()
		table.Apply("s", Change{Term: 1, Version: 4, Full: true, Owners: before})
		next := 0
		for next < owner.KeyCount {
			keys := owner.KeyRange{From: next, To: min(owner.KeyCount-1, next+rapid.IntRange(0, owner.KeyCount).Draw(t, "piece"))}
			next = keys.To + 1
			table.Apply("s", Change{
				Term: 1, Version: 9, Full: true, Range: &keys, Partial: next < owner.KeyCount, Owners: Clip(after, keys),
			})
			_, _, version := table.Owners("s")
			if complete := next == owner.KeyCount; complete != (version == 9) {
				t.Fatalf("version %d after keys up to %d", version, keys.To)
			}
		}
		for _, want := range after {
			for _, key := range []int{want.Keys.From, want.Keys.To} {
				held, known := table.Lookup("s", key)
				if !known || want.Worker != held.Worker || want.Moving != held.Moving {
					t.Fatalf("key %d: %v, should be %v", key, held, want)
				}
			}
		}
	})
}

// A change of many key ranges takes one pass over the table, not one pass per range.
func BenchmarkApplyManyChanges(b *testing.B) {
	var owners []owner.Owner
	for from := 0; from < owner.KeyCount; from += 16 {
		owners = append(owners, owner.Owner{Keys: owner.KeyRange{From: from, To: from + 15}, Worker: "a"})
	}
	changes := make([]owner.Owner, 0, len(owners)/8)
	for index := 0; index < len(owners); index += 8 {
		changes = append(changes, owner.Owner{Keys: owners[index].Keys, Worker: "b"})
	}
	b.ReportAllocs()
	for b.Loop() {
		Change{Owners: changes}.apply(owners)
	}
}
