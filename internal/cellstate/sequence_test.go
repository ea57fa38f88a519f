package cellstate_test

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// choices turns bytes into a sequence of commands, most of which fit the state.
type choices struct {
	data []byte
}

func (c *choices) below(limit int) int {
	if len(c.data) == 0 || limit < 1 {
		return 0
	}
	value := int(c.data[0]) % limit
	c.data = c.data[1:]
	return value
}

func pick[T any](c *choices, from []T) T {
	var none T
	if len(from) == 0 {
		return none
	}
	return from[c.below(len(from))]
}

func (c *choices) command(state cellstate.State) cellstate.Command {
	held := pick(c, state.Assignments)
	server := state.Servers[pick(c, state.ServerNames())]
	slice := held.Slice
	switch c.below(18) {
	case 0:
		return cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: c.bundle(state)}}
	case 1:
		return cellstate.Command{MarkInForce: &cellstate.MarkInForce{Team: "t", Version: bundle.Version(c.below(8))}}
	case 2:
		server.Incarnation = wire.Incarnation(fmt.Sprint("run", c.below(3)))
		return cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}}
	case 3:
		return cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: c.gateway()}}
	case 4:
		return cellstate.Command{DrainServer: &cellstate.DrainServer{Server: server.Name, Draining: c.below(2) == 0}}
	case 5:
		return cellstate.Command{RemoveServer: &cellstate.RemoveServer{Server: server.Name}}
	case 6:
		held = c.owned(state, held)
		return cellstate.Command{BeginRelease: &cellstate.BeginRelease{Slice: held.Slice, Fence: held.Fence}}
	case 7, 8, 9:
		held = c.owned(state, held)
		return cellstate.Command{Unassign: &cellstate.Unassign{Slice: held.Slice, Fence: held.Fence}}
	case 10:
		return cellstate.Command{Refuse: &cellstate.Refuse{Slice: slice, Reason: wire.ReasonNoPlace}}
	case 11:
		cut := slice.Range.First + (slice.Range.Last-slice.Range.First)/2
		return cellstate.Command{Split: &cellstate.Split{Slice: slice, At: []keyspace.Hash{cut, cut + 1}}}
	case 12:
		return cellstate.Command{Merge: &cellstate.Merge{First: slice, Last: pick(c, state.Assignments).Slice}}
	default:
		server = c.serverOf(state, slice)
		if server.Incarnation == "" {
			server.Incarnation = "run0"
			return cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}}
		}
		return cellstate.Command{Assign: &cellstate.Assign{Slice: slice, Owner: server.Name, Incarnation: server.Incarnation}}
	}
}

// owned picks an owned slice, or else returns the given one.
func (c *choices) owned(state cellstate.State, otherwise cellstate.Assignment) cellstate.Assignment {
	owned := slices.DeleteFunc(slices.Clone(state.Assignments), func(a cellstate.Assignment) bool { return !a.Owned() })
	if len(owned) == 0 {
		return otherwise
	}
	return pick(c, owned)
}

// serverOf picks a server of the slice's service.
func (c *choices) serverOf(state cellstate.State, slice keyspace.Slice) cellstate.Server {
	var fitting []cellstate.Server
	for _, name := range state.ServerNames() {
		if state.Servers[name].Service == slice.Service {
			fitting = append(fitting, state.Servers[name])
		}
	}
	return pick(c, fitting)
}

func (c *choices) gateway() cellstate.Server {
	name := fmt.Sprint("system/ledger/g", c.below(2))
	return cellstate.Server{
		Name: bundle.ServerName(name), Service: cellstate.LedgerService,
		Address: fmt.Sprint("gateway:", c.below(3)), Zone: "z1", Incarnation: "g",
	}
}

// bundle makes a version in which back ends, places, partitions and services
// come and go.
func (c *choices) bundle(state cellstate.State) bundle.Bundle {
	b := bundle.Bundle{Team: "t", Cell: "c", Version: state.Teams["t"].Bundle.Version + bundle.Version(c.below(3))}
	zones := []bundle.Zone{"z1", "z2"}
	for number := range 1 + c.below(3) {
		service := bundle.Service{Name: fmt.Sprint("s", number), Kind: bundle.KindPool}
		if number != 1 {
			service.Kind = bundle.KindKeyed
			service.Placement.Slices = 1 + c.below(3)
		}
		first := c.below(len(samplePrefixes))
		for partition := range c.below(3) {
			service.Partitions = append(service.Partitions, bundle.Partition{
				Name: keyspace.PartitionName(fmt.Sprint("p", partition)), Zones: zones[:1+c.below(2)],
				Prefix: samplePrefixes[(first+partition)%len(samplePrefixes)],
			})
		}
		for backend := range 1 + c.below(3) {
			service.Backends = append(service.Backends, bundle.Backend{
				Name: fmt.Sprint("b", backend), Address: fmt.Sprint(number, ":", c.below(4)),
				Zone: zones[c.below(2)], Leaving: c.below(4) == 1,
			})
		}
		b.Services = append(b.Services, service)
	}
	return b
}

// checkSequence applies the commands that the bytes stand for, and checks each
// step. It fails through the assertions of t.
func checkSequence(t assert.TestingT, data []byte) {
	c := &choices{data: data}
	state := cellstate.New("c", 3)
	routes := table.New("c")
	held := heldKeys{}
	for index := uint64(1); len(c.data) > 0; index++ {
		command := c.command(state)
		before := state.Clone()
		next, rejection := cellstate.Apply(state, index, command)
		assert.Assert(t, reflect.DeepEqual(state, before), "the given state was changed")
		assert.NilError(t, next.Check())
		if rejection != cellstate.Applied {
			state.Index = index
			assert.Assert(t, reflect.DeepEqual(next, state), "a rejected command changed the state")
		}
		checkRises(t, before, next)
		held.check(t, next)
		routes = checkDelta(t, routes, before, next)
		state = next
	}
}

// checkRises checks that versions and fences only rise, and that a slice passes
// from one owner to the next only by being unowned.
func checkRises(t assert.TestingT, before, next cellstate.State) {
	for name, team := range before.Teams {
		assert.Assert(t, next.Teams[name].Bundle.Version >= team.Bundle.Version)
	}
	for _, now := range next.Assignments {
		former, found := before.Assignment(now.Slice)
		if !found || !now.Owned() {
			assert.Assert(t, !now.Owned(), "slice %s was made owned", now.Slice)
			continue
		}
		if former.Owned() {
			assert.Assert(t, former.Owner == now.Owner && former.Fence == now.Fence)
			assert.Assert(t, former.OwnerIncarnation == now.OwnerIncarnation)
			assert.Assert(t, former.State == now.State || now.State == wire.SliceReleasing)
			continue
		}
		assert.Equal(t, now.Fence, wire.NewFence(next.Generation, next.Index))
	}
}

// Prefixes of partitions, and keys that they divide.
var (
	samplePrefixes = []string{"", "a", "ab", "b"}
	sampleKeys     = []string{"c", "a", "ab", "abc", "b", "ba"}
)

// heldKeys are the sample keys of each grant that stands, as the bundle divided
// them when it was given.
type heldKeys map[wire.SliceFence][]string

// check finds a key that two grants of a service hold.
func (h heldKeys) check(t assert.TestingT, state cellstate.State) {
	holder := map[string]wire.SliceFence{}
	standing := map[wire.SliceFence]bool{}
	for _, assignment := range state.Assignments {
		if !assignment.Owned() || assignment.Shared {
			continue
		}
		grant := wire.SliceFence{Slice: assignment.Slice, Fence: assignment.Fence}
		standing[grant] = true
		if _, known := h[grant]; !known {
			h[grant] = keysOf(state, assignment.Slice)
		}
		for _, key := range h[grant] {
			named := string(assignment.Slice.Service) + " " + key
			other, taken := holder[named]
			assert.Assert(t, !taken, "key %q is held by %v and %v", named, other, grant)
			holder[named] = grant
		}
	}
	maps.DeleteFunc(h, func(grant wire.SliceFence, _ []string) bool { return !standing[grant] })
}

func keysOf(state cellstate.State, slice keyspace.Slice) []string {
	service, _ := state.ServiceOf(slice.Service)
	keys := []string{}
	for _, key := range sampleKeys {
		partition, found := service.PartitionOf(key)
		if found && partition.Name == slice.Partition && slice.Range.Contains(keyspace.HashKey(key)) {
			keys = append(keys, key)
		}
	}
	return keys
}

// checkDelta checks that a gateway that takes the delta has the same table as
// one that takes the snapshot.
func checkDelta(t assert.TestingT, routes *table.Table, before, next cellstate.State) *table.Table {
	if before.Index == 0 {
		routes, _ = routes.Apply(cellstate.TableView{State: before}.Snapshot())
	}
	routes, outcome := routes.Apply(cellstate.Delta(cellstate.TableView{State: before}, cellstate.TableView{State: next}))
	assert.Equal(t, outcome, table.OutcomeApplied)
	whole, outcome := table.New("c").Apply(cellstate.TableView{State: next}.Snapshot())
	assert.Equal(t, outcome, table.OutcomeApplied)
	assert.Assert(t, reflect.DeepEqual(routes, whole), "the delta leads to another table than the snapshot")
	return routes
}

func TestSequencesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkSequence(t, rapid.SliceOfN(rapid.Byte(), 20, 400).Draw(t, "choices"))
	})
}

func FuzzSequence(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 2, 2, 1, 0, 1, 0, 0, 2, 1, 0, 0, 0, 0, 2, 1, 0, 11})
	f.Fuzz(func(t *testing.T, data []byte) { checkSequence(t, data[:min(len(data), 2000)]) })
}
