package cellstate_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// divided is the catalogue whose keys are divided into the given partitions, by
// name and prefix in turn.
func divided(version bundle.Version, parts ...string) bundle.Bundle {
	made := catalogue(version, "z1")
	made.Services[0].Partitions = nil
	for i := 0; i < len(parts); i += 2 {
		made.Services[0].Partitions = append(made.Services[0].Partitions,
			bundle.Partition{Name: keyspace.PartitionName(parts[i]), Prefix: parts[i+1], Zones: []bundle.Zone{"z1"}})
	}
	return made
}

// A key that a bundle puts into another partition has its former owner until
// that one has given it up: nobody is granted slices of the service before.
func TestKeysThatChangePartitionAreReleasedFirst(t *testing.T) {
	cases := []struct {
		name        string
		first, next []string
		kept        bool
	}{
		{"a prefix is taken out", []string{"all", ""}, []string{"all", "", "rare", "r-"}, false},
		{"a prefix goes back", []string{"all", "", "rare", "r-"}, []string{"all", ""}, false},
		{"another name", []string{"all", ""}, []string{"every", ""}, false},
		{"another prefix", []string{"all", "", "rare", "r-"}, []string{"all", "", "rare", "q-"}, false},
		{"the same", []string{"all", "", "rare", "r-"}, []string{"rare", "r-", "all", ""}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := newGroup(t)
			g.adopt(divided(1, test.first...))
			g.register("books/catalogue/a", "a1")
			g.assignUnowned()
			g.adopt(divided(2, test.next...))
			for _, held := range g.state.OwnedBy("books/catalogue/a") {
				assert.Equal(t, held.State == wire.SliceServing, test.kept, "%s", held.Slice)
			}
			g.unassignReleasing()
			g.assignUnowned()
			assert.Equal(t, len(g.state.OwnedBy("books/catalogue/a")), len(test.next)/2)
		})
	}
}

// Partitions whose keys stay are left alone.
func TestOtherPartitionsAreNotReleased(t *testing.T) {
	g := newGroup(t)
	g.adopt(divided(1, "all", "", "rare", "r-"))
	g.register("books/catalogue/a", "a1")
	g.assignUnowned()
	g.adopt(divided(2, "all", "", "rare", "r-", "old", "o-"))
	for _, held := range g.state.OwnedBy("books/catalogue/a") {
		assert.Equal(t, held.State == wire.SliceServing, held.Slice.Partition == "rare")
	}
}

// A service that was gone for a version holds its keys until they are released.
func TestServiceThatReturnsDividedOtherwise(t *testing.T) {
	g := newGroup(t)
	g.adopt(divided(1, "all", ""))
	g.register("books/catalogue/a", "a1")
	g.assignUnowned()
	without := catalogue(2, "z1")
	without.Services = without.Services[1:]
	g.adopt(without)
	g.adopt(divided(3, "every", ""))
	for _, free := range g.state.Assignments {
		if free.Slice.Service == "books/catalogue" && !free.Owned() {
			g.expect(cellstate.RejectedKeysHeld, assignment(free.Slice, "books/catalogue/a", "a1"))
		}
	}
	g.unassignReleasing()
}

// assignUnowned gives every slice of the catalogue that nobody owns to a, which
// is refused as long as a slice of the former division is owned.
func (g *group) assignUnowned() {
	g.t.Helper()
	for _, free := range g.state.Assignments {
		if free.Slice.Service == "books/catalogue" && !free.Owned() {
			g.expect(cellstate.Applied, assignment(free.Slice, "books/catalogue/a", "a1"))
		}
	}
}

// unassignReleasing ends what is being released, and sees that nothing of the
// service can be assigned before.
func (g *group) unassignReleasing() {
	g.t.Helper()
	for {
		releasing, free := g.releasingAndFree()
		if releasing == nil {
			return
		}
		if free != nil {
			g.expect(cellstate.RejectedKeysHeld, assignment(free.Slice, "books/catalogue/a", "a1"))
		}
		g.expect(cellstate.Applied, cellstate.Command{Unassign: &cellstate.Unassign{Slice: releasing.Slice, Fence: releasing.Fence}})
	}
}

func (g *group) releasingAndFree() (releasing, free *cellstate.Assignment) {
	for i, held := range g.state.Assignments {
		switch {
		case held.Slice.Service != "books/catalogue":
		case held.State == wire.SliceReleasing:
			releasing = &g.state.Assignments[i]
		case !held.Owned():
			free = &g.state.Assignments[i]
		}
	}
	return releasing, free
}

// Whatever divisions follow each other, and in whatever order slices are
// assigned and released, no key is held by way of two slices.
func TestNoKeyIsHeldTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := cellstate.New("c", 1)
		held := heldKeys{}
		version := bundle.Version(0)
		apply := func(command cellstate.Command) {
			state, _ = cellstate.Apply(state, state.Index+1, command)
			assert.NilError(t, state.Check())
			held.check(t, state)
		}
		adopt := func(t *rapid.T) {
			version++
			apply(cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: drawDivision(t, version)}})
		}
		adopt(t)
		server := state.Servers["books/catalogue/a"]
		server.Incarnation = "a1"
		apply(cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}})
		t.Repeat(map[string]func(*rapid.T){
			"adopt": adopt,
			"assign": func(t *rapid.T) {
				slice := rapid.SampledFrom(state.Assignments).Draw(t, "slice").Slice
				apply(assignment(slice, "books/catalogue/a", "a1"))
			},
			"unassign": func(t *rapid.T) {
				gone := rapid.SampledFrom(state.Assignments).Draw(t, "slice")
				apply(cellstate.Command{Unassign: &cellstate.Unassign{Slice: gone.Slice, Fence: gone.Fence}})
			},
		})
	})
}

// drawDivision draws one to three partitions with prefixes that differ.
func drawDivision(t *rapid.T, version bundle.Version) bundle.Bundle {
	prefixes := rapid.SliceOfNDistinct(rapid.SampledFrom(samplePrefixes), 1, 3, rapid.ID[string]).Draw(t, "prefixes")
	names := rapid.Permutation([]string{"p", "q", "r"}).Draw(t, "names")
	var parts []string
	for i, prefix := range prefixes {
		parts = append(parts, names[i], prefix)
	}
	return divided(version, parts...)
}
