package cellstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// group applies commands at rising indexes.
type group struct {
	t     *testing.T
	state cellstate.State
}

func newGroup(t *testing.T) *group {
	return &group{t: t, state: cellstate.New("c", 1)}
}

func (g *group) expect(want cellstate.Rejection, command cellstate.Command) {
	g.t.Helper()
	next, rejection := cellstate.Apply(g.state, g.state.Index+1, command)
	assert.Equal(g.t, rejection, want)
	assert.NilError(g.t, next.Check())
	g.state = next
}

func (g *group) adopt(b bundle.Bundle) {
	g.t.Helper()
	g.expect(cellstate.Applied, cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: b}})
}

func (g *group) register(name bundle.ServerName, incarnation wire.Incarnation) {
	g.t.Helper()
	server := g.state.Servers[name]
	server.Incarnation = incarnation
	g.expect(cellstate.Applied, cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}})
}

func (g *group) unassign(place int) {
	g.t.Helper()
	held := g.state.Assignments[place]
	g.expect(cellstate.Applied, cellstate.Command{Unassign: &cellstate.Unassign{Slice: held.Slice, Fence: held.Fence}})
}

func assignment(slice keyspace.Slice, owner bundle.ServerName, incarnation wire.Incarnation) cellstate.Command {
	return cellstate.Command{Assign: &cellstate.Assign{Slice: slice, Owner: owner, Incarnation: incarnation}}
}

// catalogue is a bundle with one keyed service of one slice and one pool.
func catalogue(version bundle.Version, zones ...bundle.Zone) bundle.Bundle {
	return bundle.Bundle{
		Team: "books", Version: version, Cell: "c",
		Services: []bundle.Service{
			{
				Name: "catalogue", Kind: bundle.KindKeyed, Placement: bundle.Placement{Slices: 1},
				Partitions: []bundle.Partition{{Name: "all", Zones: zones}},
				Backends:   []bundle.Backend{{Name: "a", Address: "a:1", Zone: "z1"}, {Name: "b", Address: "b:1", Zone: "z2"}},
			},
			{
				Name: "export", Kind: bundle.KindPool,
				Backends: []bundle.Backend{{Name: "x", Address: "x:1", Zone: "z1"}, {Name: "y", Address: "y:1", Zone: "z2"}},
			},
		},
	}
}

func TestAssignRejections(t *testing.T) {
	g := newGroup(t)
	g.adopt(catalogue(1, "z1"))
	keyed, poolX := g.state.Assignments[0].Slice, g.state.Assignments[1].Slice
	g.register("books/catalogue/a", "a1")
	g.register("books/catalogue/b", "b1")
	g.register("books/export/x", "x1")
	g.register("books/export/y", "y1")
	part := keyed
	part.Range.Last = 7

	g.expect(cellstate.RejectedUnknownSlice, assignment(part, "books/catalogue/a", "a1"))
	g.expect(cellstate.RejectedServer, assignment(keyed, "books/catalogue/none", "a1"))
	g.expect(cellstate.RejectedServer, assignment(keyed, "books/export/x", "x1"))
	g.expect(cellstate.RejectedServer, assignment(keyed, "books/catalogue/a", "a0"))
	g.expect(cellstate.RejectedZone, assignment(keyed, "books/catalogue/b", "b1"))
	g.expect(cellstate.RejectedServer, assignment(poolX, "books/export/y", "y1"))
	g.expect(cellstate.Applied, assignment(poolX, "books/export/x", "x1"))
	g.expect(cellstate.Applied, assignment(keyed, "books/catalogue/a", "a1"))
	g.expect(cellstate.RejectedOwned, assignment(keyed, "books/catalogue/a", "a1"))
	g.expect(cellstate.RejectedFence, cellstate.Command{Unassign: &cellstate.Unassign{Slice: keyed, Fence: 1}})
	g.expect(cellstate.RejectedMalformed, cellstate.Command{})
	g.expect(cellstate.RejectedOldVersion, cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: catalogue(1, "z1")}})

	g.unassign(0)
	g.expect(cellstate.Applied, cellstate.Command{DrainServer: &cellstate.DrainServer{Server: "books/catalogue/a", Draining: true}})
	g.expect(cellstate.RejectedDraining, assignment(keyed, "books/catalogue/a", "a1"))
}

func TestAdoptReleasesSlicesInForbiddenZones(t *testing.T) {
	g := newGroup(t)
	g.adopt(catalogue(1, "z1"))
	g.register("books/catalogue/a", "a1")
	g.expect(cellstate.Applied, assignment(g.state.Assignments[0].Slice, "books/catalogue/a", "a1"))
	fence := g.state.Assignments[0].Fence
	g.adopt(catalogue(2, "z2"))
	held := g.state.Assignments[0]
	assert.Equal(t, held.State, wire.SliceReleasing)
	assert.Equal(t, held.Bundle, bundle.Version(2))
	assert.Equal(t, held.Fence, fence)
}

func TestMovedBackendIsReplacedOnceItOwnsNothing(t *testing.T) {
	g := newGroup(t)
	g.adopt(catalogue(1, "z1"))
	g.register("books/catalogue/a", "a1")
	g.expect(cellstate.Applied, assignment(g.state.Assignments[0].Slice, "books/catalogue/a", "a1"))
	moved := catalogue(2, "z1")
	moved.Services[0].Backends[0].Address = "a:2"
	moved.Services[0].Backends[1] = bundle.Backend{Name: "c", Address: "a:1", Zone: "z1"}
	g.adopt(moved)
	assert.Equal(t, g.state.Servers["books/catalogue/a"].Address, "a:1")
	assert.Assert(t, g.state.Servers["books/catalogue/a"].Draining)
	_, early := g.state.Servers["books/catalogue/c"]
	assert.Assert(t, !early, "two servers at one address")

	g.unassign(0)
	server := g.state.Servers["books/catalogue/a"]
	assert.Equal(t, server.Address, "a:2")
	assert.Equal(t, server.Incarnation, wire.Incarnation(""))
	assert.Assert(t, !server.Draining)
	assert.Equal(t, g.state.Servers["books/catalogue/c"].Address, "a:1")
}

func TestServiceThatIsGoneLeavesWhenReleased(t *testing.T) {
	g := newGroup(t)
	g.adopt(catalogue(1, "z1"))
	g.register("books/export/x", "x1")
	g.expect(cellstate.Applied, assignment(g.state.Assignments[1].Slice, "books/export/x", "x1"))
	smaller := catalogue(2, "z1")
	smaller.Services = smaller.Services[:1]
	g.adopt(smaller)
	assert.Equal(t, len(g.state.Assignments), 2)
	assert.Equal(t, g.state.Assignments[1].State, wire.SliceReleasing)

	pool := catalogue(3, "z1")
	pool.Services[1].Kind = bundle.KindKeyed
	g.expect(cellstate.RejectedKind, cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: pool}})
	g.unassign(1)
	assert.Equal(t, len(g.state.Assignments), 1)
	_, known := g.state.Servers["books/export/x"]
	assert.Assert(t, !known)
}

func TestLedgerSlicesComeWithTheFirstGateway(t *testing.T) {
	g := newGroup(t)
	gateway := cellstate.Server{Name: "system/ledger/g1", Service: cellstate.LedgerService, Address: "g:1", Zone: "z9", Incarnation: "g1"}
	g.expect(cellstate.Applied, cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: gateway}})
	assert.Equal(t, len(g.state.Assignments), cellstate.LedgerSlices)
	g.expect(cellstate.Applied, assignment(g.state.Assignments[5].Slice, gateway.Name, "g1"))
	g.expect(cellstate.RejectedOwned, cellstate.Command{RemoveServer: &cellstate.RemoveServer{Server: gateway.Name}})
	g.register(gateway.Name, "g2")
	assert.Equal(t, g.state.Assignments[5].OwnerIncarnation, wire.Incarnation("g1"))
	g.unassign(5)
	g.expect(cellstate.Applied, cellstate.Command{RemoveServer: &cellstate.RemoveServer{Server: gateway.Name}})
}

// BenchmarkAssignAmongThousands shows the cost of one command in a large cell.
func BenchmarkAssignAmongThousands(b *testing.B) {
	adopted := catalogue(1, "z1")
	adopted.Services[0].Placement.Slices = 4096
	state, _ := cellstate.Apply(cellstate.New("c", 1), 1, cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: adopted}})
	server := state.Servers["books/catalogue/a"]
	server.Incarnation = "a1"
	state, _ = cellstate.Apply(state, 2, cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}})
	command := assignment(state.Assignments[2048].Slice, server.Name, "a1")
	for b.Loop() {
		cellstate.Apply(state, 3, command)
	}
}

func TestBundleThatTakesAnotherTeamsRouteOrAddressIsRejected(t *testing.T) {
	g := newGroup(t)
	g.adopt(catalogue(1, "z1"))
	intruder := catalogue(1, "z1")
	intruder.Team = "films"
	g.expect(cellstate.RejectedConflict, cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: intruder}})
	assert.Equal(t, len(g.state.Teams), 1)
}
