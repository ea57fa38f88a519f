package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/wire"
)

// sameFence returns a cell whose two slices server a owns under one fence, the
// second as the given run.
func sameFence(t *testing.T, second wire.Incarnation) *cell {
	c := newCell(t, 2)
	server := c.state.Servers[serverA]
	server.Incarnation = "a1"
	c.apply(cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}})
	c.assignAll(serverA, "a1")
	for i := range c.state.Assignments {
		c.state.Assignments[i].Fence = wire.NewFence(1, c.state.Index)
	}
	c.state.Assignments[1].OwnerIncarnation = second
	return c
}

// A release gives up one slice, never another one that has the same fence: its
// owner still serves that one.
func TestReleaseOfOneSliceTakesNoOtherOfItsFence(t *testing.T) {
	c := sameFence(t, "a1")
	released := c.state.Assignments[0]
	c.apply(cellstate.Command{BeginRelease: &cellstate.BeginRelease{Slice: released.Slice, Fence: released.Fence}})
	book := grant.New(testConfig(), at(0), c.state)
	book.Due(at(0), time.Hour)
	book.Answered(at(1), serverA, wire.RenewResponse{
		Server: "a1", Reading: millisecond,
		Released: []wire.SliceFence{{Slice: released.Slice, Fence: released.Fence}},
	})
	assert.DeepEqual(t, unassigned(book.Proposals(at(2))), []cellstate.Unassign{{Slice: released.Slice, Fence: released.Fence}})
}

// A slice that a lost run held is taken, never another one of the same fence
// that the present run holds.
func TestLostRunTakesNoSliceOfThePresentOne(t *testing.T) {
	c := sameFence(t, "a2")
	lost := c.state.Assignments[0]
	book := grant.New(testConfig(), at(0), c.state)
	book.Due(at(0), time.Hour)
	book.Answered(at(1000), serverA, wire.RenewResponse{Server: "a2", Reading: millisecond})
	book.Due(at(1001), time.Hour)
	assert.DeepEqual(t, unassigned(book.Proposals(at(1002))), []cellstate.Unassign{{Slice: lost.Slice, Fence: lost.Fence}})
}

func unassigned(commands []cellstate.Command) []cellstate.Unassign {
	var found []cellstate.Unassign
	for _, command := range commands {
		if command.Unassign != nil {
			found = append(found, *command.Unassign)
		}
	}
	return found
}
