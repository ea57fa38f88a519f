package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// A fence names one grant, so a new generation gives no two slices the same
// one, all are above those of the old one, and the next command's is higher.
func TestNewGenerationsFencesDiffer(t *testing.T) {
	state := cellstate.New("casa", 3)
	state.Index = 40
	for _, part := range keyspace.SplitEvenly(8) {
		slice := keyspace.Slice{Service: "tawila/tables", Partition: "all", Range: part}
		state.Assignments = append(state.Assignments, cellstate.Assignment{Slice: slice, Fence: wire.NewFence(3, 40)})
	}
	raised := nextGeneration(state, 4)
	seen := map[wire.Fence]bool{}
	for _, assignment := range raised.Assignments {
		assert.Assert(t, !seen[assignment.Fence], "fence %s stands twice", assignment.Fence)
		assert.Assert(t, assignment.Fence > wire.NewFence(3, 40))
		assert.Assert(t, assignment.Fence < wire.NewFence(4, raised.Index+1))
		seen[assignment.Fence] = true
	}
	assert.Assert(t, raised.Version().Newer(state.Version()))
}

// A slice whose keys another slice may have too is not served again.
func TestNewGenerationGoesOnToReleaseDividedSlices(t *testing.T) {
	state := cellstate.New("casa", 3)
	state.Assignments = []cellstate.Assignment{{Owner: "a", State: wire.SliceReleasing, Divided: true}}
	assert.Equal(t, nextGeneration(state, 4).Assignments[0].State, wire.SliceReleasing)
}
