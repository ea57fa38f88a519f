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
// heaviest: what has little choice takes its place before the others. Slices
// whose keys are still owned by way of other slices are left out.
func (c *cellView) unownedSlices(service *serviceView) []unownedSlice {
	var found []unownedSlice
	for _, assignment := range service.assignments {
		if assignment.Owner != "" || assignment.Divided {
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
	gathering := !assignment.Shared && cell.now-p.memory[assignment.Slice].unownedSince < gatherTime
	if len(unowned.candidates) == 0 {
		changed := !assignment.Shared && !gathering && assignment.Refusal != ReasonNoServer
		return refuse(assignment, ReasonNoServer), changed
	}
	if gathering && service.startsCold() {
		return cellstate.Command{}, false
	}
	target := p.chooseOwner(service, unowned)
	cell.own(target, assignment.Slice)
	return assignTo(assignment, target), true
}

// startsCold reports whether no slice of the service has an owner and some of
// its servers are not reached yet.
func (s *serviceView) startsCold() bool {
	owned := slices.ContainsFunc(s.assignments, func(assignment cellstate.Assignment) bool {
		return assignment.Owner != ""
	})
	return !owned && slices.ContainsFunc(s.nodes, func(node *serverNode) bool {
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
	if home == nil || service.repays(service.apparentLoad(home)-service.apparentLoad(least), home, least) {
		return least
	}
	return home
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
