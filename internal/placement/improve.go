package placement

import (
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/wire"
)

// improve proposes planned changes: moves for balance, releases of slices that
// are to be divided, and of slices that are to be merged. A service that has
// something to restore first is left alone.
func (p *Planner) improve(cell *cellView) []cellstate.Command {
	var commands []cellstate.Command
	for _, name := range cell.names {
		service := cell.services[name]
		if !cell.restored(service) {
			continue
		}
		round := p.newRound(cell, service)
		round.followPending()
		round.startMoves()
		round.startMerge()
		commands = append(commands, round.commands()...)
	}
	return commands
}

// restored reports whether every slice of a keyed service is where it may
// stay, or on its way by a planned release.
func (c *cellView) restored(service *serviceView) bool {
	for _, assignment := range service.assignments {
		if assignment.Shared {
			return false
		}
		owner := c.servers[assignment.Owner]
		if owner == nil || !owner.usable() || !c.allowed(assignment, owner) {
			return false
		}
	}
	return len(service.assignments) > 0
}

// round is one service's planned changes in one plan.
type round struct {
	planner *Planner
	cell    *cellView
	service *serviceView
	// open counts the slices that are or will be without an owner.
	open int
	// dividing says that one of them is to be divided or merged.
	dividing bool
	// chosen are the fences to be released.
	chosen map[wire.Fence]bool
}

func (p *Planner) newRound(cell *cellView, service *serviceView) *round {
	return &round{planner: p, cell: cell, service: service, chosen: map[wire.Fence]bool{}}
}

// followPending takes up the releases that are under way or were proposed
// before, and counts their loads at their targets.
func (r *round) followPending() {
	for _, assignment := range r.service.assignments {
		entry, known := r.planner.releases.byFence[assignment.Fence]
		releasing := assignment.State == wire.SliceReleasing
		if releasing {
			r.open++
		}
		if !known || !entry.planned() || entry.cancelled {
			continue
		}
		r.dividing = r.dividing || entry.target == ""
		target := r.cell.servers[entry.target]
		if entry.target != "" && (target == nil || !target.usable()) {
			entry.cancelled = true
			r.planner.releases.byFence[assignment.Fence] = entry
			r.planner.memory[assignment.Slice].target = ""
			continue
		}
		if !releasing {
			r.choose(assignment)
		}
		if target != nil {
			r.cell.disown(r.cell.servers[assignment.Owner], assignment.Slice)
			r.cell.own(target, assignment.Slice)
		}
	}
}

// choose puts a release into the plan.
func (r *round) choose(assignment cellstate.Assignment) {
	r.chosen[assignment.Fence] = true
	r.open++
}

// start puts a new release into the plan and charges the budget.
func (r *round) start(assignment cellstate.Assignment, cause Cause, target *serverNode) {
	entry := release{service: r.service.name, cause: cause, at: r.cell.now}
	if target != nil {
		entry.target = target.Name
		r.planner.memory[assignment.Slice].target = target.Name
		r.cell.disown(r.cell.servers[assignment.Owner], assignment.Slice)
		r.cell.own(target, assignment.Slice)
	}
	r.planner.releases.byFence[assignment.Fence] = entry
	r.choose(assignment)
}

// budgetLeft returns how many releases the service may still start.
func (r *round) budgetLeft() int {
	return r.service.policy.movesPerMinute - r.planner.releases.countPlanned(r.service.name)
}

// movable reports whether a slice may be part of a planned change now. Where
// some rates are known, one that is not is no ground to move.
func (r *round) movable(assignment cellstate.Assignment) bool {
	memory := r.planner.memory[assignment.Slice]
	if assignment.State == wire.SliceReleasing || r.chosen[assignment.Fence] {
		return false
	}
	if _, known := r.planner.releases.byFence[assignment.Fence]; known {
		return false
	}
	return (memory.known || !r.service.measured) && r.cell.now-memory.since >= residence
}

// commands returns the chosen releases in the order of the state.
func (r *round) commands() []cellstate.Command {
	var commands []cellstate.Command
	for _, assignment := range r.service.assignments {
		if r.chosen[assignment.Fence] {
			commands = append(commands, beginRelease(assignment))
		}
	}
	return commands
}
