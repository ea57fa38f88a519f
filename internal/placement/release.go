package placement

import (
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// drainBatch bounds the slices of one service that leave draining servers
	// within drainInterval, so that not all of them are without an owner at
	// once. It counts starts and not ends: a long request holds up no drain.
	drainBatch    = 4
	drainInterval = 250 * time.Millisecond
	// releaseMemory is how long a proposed release is remembered.
	releaseMemory = time.Minute
)

// release is one proposed BeginRelease.
type release struct {
	service keyspace.ServiceName
	cause   Cause
	at      time.Duration
}

// releaseLog remembers proposed releases by the fence that they end. A fence
// is unique, so proposing the same release again is counted once.
type releaseLog struct {
	byFence map[wire.Fence]release
}

func newReleaseLog() releaseLog {
	return releaseLog{byFence: map[wire.Fence]release{}}
}

func (l *releaseLog) forget(before time.Duration) {
	for fence, entry := range l.byFence {
		if entry.at < before {
			delete(l.byFence, fence)
		}
	}
}

// count returns the releases of a service for cause that began after since.
func (l *releaseLog) count(service keyspace.ServiceName, cause Cause, since time.Duration) int {
	total := 0
	for _, entry := range l.byFence {
		if entry.service == service && entry.cause == cause && entry.at > since {
			total++
		}
	}
	return total
}

// releaseMisplaced asks for the slices of draining servers, and of servers in
// a zone that the bundle does not allow any more.
func (p *Planner) releaseMisplaced(now time.Duration, cell *cellView) []cellstate.Command {
	p.releases.forget(now - releaseMemory)
	var commands []cellstate.Command
	for _, assignment := range cell.assignments {
		if assignment.Owner == "" || assignment.State == wire.SliceReleasing {
			continue
		}
		if p.mustRelease(now, cell, assignment) {
			commands = append(commands, beginRelease(assignment))
		}
	}
	return commands
}

func (p *Planner) mustRelease(now time.Duration, cell *cellView, assignment cellstate.Assignment) bool {
	owner := cell.servers[assignment.Owner]
	if owner == nil {
		return false
	}
	if !cell.allowed(assignment, owner) {
		return true
	}
	return owner.Draining && p.mayDrain(now, cell, assignment)
}

// mayDrain reports whether a draining server's slice is released now. A back
// end of a pool is always released: it needs no other place.
func (p *Planner) mayDrain(now time.Duration, cell *cellView, assignment cellstate.Assignment) bool {
	if assignment.Shared {
		return true
	}
	if _, known := p.releases.byFence[assignment.Fence]; known {
		return true
	}
	if len(cell.candidates(assignment)) == 0 {
		return false
	}
	service := assignment.Slice.Service
	if p.releases.count(service, CauseDraining, now-drainInterval) >= drainBatch {
		return false
	}
	p.releases.byFence[assignment.Fence] = release{service: service, cause: CauseDraining, at: now}
	return true
}

func beginRelease(assignment cellstate.Assignment) cellstate.Command {
	return cellstate.Command{BeginRelease: &cellstate.BeginRelease{
		Slice: assignment.Slice,
		Fence: assignment.Fence,
	}}
}
