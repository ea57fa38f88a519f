package placement

import (
	"cmp"
	"slices"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/wire"
)

// unownedSlice is a slice to be assigned, with the servers that may take it.
type unownedSlice struct {
	assignment cellstate.Assignment
	candidates []*serverNode
	weight     float64
}

// placeUnowned divides, merges, assigns or refuses every unowned slice.
func (p *Planner) placeUnowned(cell *cellView) []cellstate.Command {
	var commands []cellstate.Command
	for _, name := range cell.names {
		service := cell.services[name]
		reshaped := p.reshapeUnowned(cell, service)
		commands = append(commands, reshaped.commands...)
		for _, unowned := range cell.unownedSlices(service) {
			if reshaped.holds[unowned.assignment.Slice] {
				continue
			}
			if command, changed := p.placeOne(cell, service, unowned); changed {
				commands = append(commands, command)
			}
		}
	}
	return commands
}

// unownedSlices returns the slices with the fewest candidates first, then the
// heaviest: what has little choice takes its place before the others.
func (c *cellView) unownedSlices(service *serviceView) []unownedSlice {
	var found []unownedSlice
	for _, assignment := range service.assignments {
		if assignment.Owner != "" {
			continue
		}
		found = append(found, unownedSlice{
			assignment: assignment,
			candidates: c.candidates(assignment),
			weight:     c.weights[assignment.Slice],
		})
	}
	slices.SortStableFunc(found, func(a, b unownedSlice) int {
		return cmp.Or(
			cmp.Compare(len(a.candidates), len(b.candidates)),
			cmp.Compare(b.weight, a.weight),
		)
	})
	return found
}

// placeOne proposes an owner or a refusal, if that changes anything. A slice
// of a pool is never refused: the other back ends serve in its place.
func (p *Planner) placeOne(cell *cellView, service *serviceView, unowned unownedSlice) (cellstate.Command, bool) {
	assignment := unowned.assignment
	if len(unowned.candidates) == 0 {
		changed := !assignment.Shared && assignment.Refusal != ReasonNoServer
		return refuse(assignment, ReasonNoServer), changed
	}
	if !assignment.Shared && p.gathering(cell, service, assignment) {
		return cellstate.Command{}, false
	}
	target := p.chooseOwner(service, unowned)
	cell.own(target, assignment.Slice)
	return assignTo(assignment, target), true
}

// gathering reports whether a service without any owner still waits for its
// servers to be reached.
func (p *Planner) gathering(cell *cellView, service *serviceView, assignment cellstate.Assignment) bool {
	memory := p.memory[assignment.Slice]
	if cell.now-memory.unownedSince >= gatherTime {
		return false
	}
	for _, other := range service.assignments {
		if other.Owner != "" {
			return false
		}
	}
	return slices.ContainsFunc(service.nodes, func(node *serverNode) bool {
		return !node.live && !node.Draining
	})
}

// chooseOwner returns the server that the slice was released for, or else its
// last owner unless moving it repays, or else the least loaded.
func (p *Planner) chooseOwner(service *serviceView, unowned unownedSlice) *serverNode {
	least := service.leastLoaded(unowned.candidates)
	memory := p.memory[unowned.assignment.Slice]
	if memory == nil {
		return least
	}
	var home *serverNode
	for _, node := range unowned.candidates {
		if node.Name == memory.target {
			return node
		}
		if node.Name == memory.home {
			home = node
		}
	}
	if home == nil || service.repays(home.load-least.load) {
		return least
	}
	return home
}

// repays reports whether a gap of load that remains after a move is worth the
// churn of the move.
func (s *serviceView) repays(gap float64) bool {
	return gap > s.policy.threshold*s.mean
}

func assignTo(assignment cellstate.Assignment, target *serverNode) cellstate.Command {
	return cellstate.Command{Assign: &cellstate.Assign{
		Slice:       assignment.Slice,
		Owner:       target.Name,
		Incarnation: target.Incarnation,
	}}
}

func refuse(assignment cellstate.Assignment, reason wire.Reason) cellstate.Command {
	return cellstate.Command{Refuse: &cellstate.Refuse{Slice: assignment.Slice, Reason: reason}}
}
