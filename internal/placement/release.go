package placement

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// release is one proposed BeginRelease.
type release struct {
	service keyspace.ServiceName
	cause   Cause
	at      time.Duration
	// target is the server that the slice is moved to, if that is planned.
	target bundle.ServerName
	// cancelled releases count for the budget and are proposed no more.
	cancelled bool
}

// planned reports whether the release counts for the budget of moves.
func (r release) planned() bool {
	return r.cause == CauseBalance || r.cause == CauseHotKey || r.cause == CauseCold
}

// releaseLog remembers proposed releases by the fence that they end. A fence
// is unique, so proposing the same release again is counted once.
type releaseLog struct {
	byFence map[wire.Fence]release
}

func newReleaseLog() releaseLog {
	return releaseLog{byFence: map[wire.Fence]release{}}
}

func (l *releaseLog) forget(until time.Duration) {
	for fence, entry := range l.byFence {
		if entry.at <= until {
			delete(l.byFence, fence)
		}
	}
}

// countPlanned returns the releases of a service that its budget counts.
func (l *releaseLog) countPlanned(service keyspace.ServiceName) int {
	total := 0
	for _, entry := range l.byFence {
		if entry.service == service && entry.planned() {
			total++
		}
	}
	return total
}

// countDrained returns the releases of a service for draining after since.
func (l *releaseLog) countDrained(service keyspace.ServiceName, since time.Duration) int {
	total := 0
	for _, entry := range l.byFence {
		if entry.service == service && entry.cause == CauseDraining && entry.at > since {
			total++
		}
	}
	return total
}

// noteDraining remembers since when each server has been draining.
func (p *Planner) noteDraining(cell *cellView) {
	for name, node := range cell.servers {
		if !node.Draining {
			delete(p.drainingSince, name)
		} else if _, known := p.drainingSince[name]; !known {
			p.drainingSince[name] = cell.now
		}
	}
	for name := range p.drainingSince {
		if cell.servers[name] == nil {
			delete(p.drainingSince, name)
		}
	}
}

// releaseMisplaced asks for the slices of draining servers, and of servers in
// a zone that the bundle does not allow any more. No budget holds these back.
func (p *Planner) releaseMisplaced(cell *cellView) []cellstate.Command {
	var commands []cellstate.Command
	for _, assignment := range cell.assignments {
		owner := cell.servers[assignment.Owner]
		if owner == nil || assignment.State == wire.SliceReleasing {
			continue
		}
		if p.mustRelease(cell, assignment, owner) {
			commands = append(commands, beginRelease(assignment))
		}
	}
	return commands
}

func (p *Planner) mustRelease(cell *cellView, assignment cellstate.Assignment, owner *serverNode) bool {
	if !cell.allowed(assignment, owner) {
		p.noteRelease(cell, assignment, CauseZone)
		return true
	}
	if !owner.Draining || !p.mayDrain(cell, assignment) {
		return false
	}
	p.noteRelease(cell, assignment, CauseDraining)
	return true
}

// mayDrain reports whether a draining server's slice is released now. A back
// end of a pool is always released: it needs no other place.
func (p *Planner) mayDrain(cell *cellView, assignment cellstate.Assignment) bool {
	if assignment.Shared {
		return true
	}
	if known := p.releases.byFence[assignment.Fence]; known.cause == CauseDraining {
		return true
	}
	waited := cell.now - p.drainingSince[assignment.Owner]
	if len(cell.candidates(assignment)) == 0 && waited < drainGrace {
		return false
	}
	return p.releases.countDrained(assignment.Slice.Service, cell.now-drainInterval) < drainBatch
}

// noteRelease remembers the first proposal of a release.
func (p *Planner) noteRelease(cell *cellView, assignment cellstate.Assignment, cause Cause) {
	if known := p.releases.byFence[assignment.Fence]; known.cause == cause {
		return
	}
	p.releases.byFence[assignment.Fence] = release{
		service: assignment.Slice.Service,
		cause:   cause,
		at:      cell.now,
	}
}

func beginRelease(assignment cellstate.Assignment) cellstate.Command {
	return cellstate.Command{BeginRelease: &cellstate.BeginRelease{
		Slice: assignment.Slice,
		Fence: assignment.Fence,
	}}
}
