package placement

import (
	"cmp"
	"slices"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/wire"
)

// assignUnowned gives every unowned slice to the least loaded server that may
// hold it, and refuses the slices that none may.
func assignUnowned(cell *cellView) []cellstate.Command {
	var commands []cellstate.Command
	for _, assignment := range cell.assignments {
		if assignment.Owner != "" {
			continue
		}
		if command, changed := assignOne(cell, assignment); changed {
			commands = append(commands, command)
		}
	}
	return commands
}

// assignOne proposes an owner or a refusal, if that changes anything. A slice
// of a pool is never refused: the other back ends serve in its place.
func assignOne(cell *cellView, assignment cellstate.Assignment) (cellstate.Command, bool) {
	candidates := cell.candidates(assignment)
	if len(candidates) > 0 {
		target := leastLoaded(candidates)
		target.add(assignment.Slice, 0)
		return assignTo(assignment, target), true
	}
	if assignment.Shared || assignment.Refusal == ReasonNoServer {
		return cellstate.Command{}, false
	}
	return refuse(assignment, ReasonNoServer), true
}

// leastLoaded returns the server with the lowest rate, then the fewest hashes,
// then the fewest slices, then the first name.
func leastLoaded(candidates []*serverNode) *serverNode {
	return slices.MinFunc(candidates, func(a, b *serverNode) int {
		return cmp.Or(
			cmp.Compare(a.rate, b.rate),
			cmp.Compare(a.width, b.width),
			cmp.Compare(a.slices, b.slices),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

func assignTo(assignment cellstate.Assignment, target *serverNode) cellstate.Command {
	return cellstate.Command{Assign: &cellstate.Assign{
		Slice:       assignment.Slice,
		Owner:       target.Name,
		Incarnation: target.incarnation,
	}}
}

func refuse(assignment cellstate.Assignment, reason wire.Reason) cellstate.Command {
	return cellstate.Command{Refuse: &cellstate.Refuse{Slice: assignment.Slice, Reason: reason}}
}
