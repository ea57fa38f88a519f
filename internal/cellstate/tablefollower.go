package cellstate

import (
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// TableFollower rebuilds, from a table stream, as much of a cell's state as the
// table shows. It serves for passing the table on, never for deciding. The zero
// value holds no table and waits for a snapshot.
type TableFollower struct {
	state State
}

// State returns what the updates so far amount to.
func (f *TableFollower) State() State {
	return f.state
}

// Apply takes one update in. It returns false for a delta that does not continue
// the table held; the stream must then be opened again.
func (f *TableFollower) Apply(update wire.TableUpdate) bool {
	if update.Heartbeat {
		return true
	}
	if update.Snapshot {
		f.state = New(update.Cell, update.Version.Generation)
	} else if f.state.Version() != update.From {
		return false
	}
	next := f.state.Clone()
	next.Generation = update.Version.Generation
	next.Index = update.Version.Index
	applyBundles(&next, update.Bundles)
	applyServers(&next, update)
	next.Assignments = applyAssignments(next.Assignments, update)
	f.state = next
	return true
}

func applyBundles(state *State, bundles []bundle.Bundle) {
	for _, adopted := range bundles {
		state.Teams[adopted.Team] = Team{Bundle: adopted}
	}
}

func applyServers(state *State, update wire.TableUpdate) {
	for _, name := range update.RemovedServers {
		delete(state.Servers, name)
	}
	for _, server := range update.Servers {
		state.Servers[server.Name] = Server{
			Name:        server.Name,
			Address:     server.Address,
			Zone:        server.Zone,
			Slots:       server.Slots,
			Connections: server.Connections,
			Draining:    server.Draining,
		}
	}
}

// applyAssignments removes and replaces by exact slice, and keeps the order.
func applyAssignments(held []Assignment, update wire.TableUpdate) []Assignment {
	gone := map[keyspace.Slice]bool{}
	for _, slice := range update.Removed {
		gone[slice] = true
	}
	for _, entry := range update.Assignments {
		gone[entry.Slice] = true
	}
	var next []Assignment
	for _, assignment := range held {
		if !gone[assignment.Slice] {
			next = append(next, assignment)
		}
	}
	for _, entry := range update.Assignments {
		next = append(next, assignmentOf(entry))
	}
	slices.SortFunc(next, func(a, b Assignment) int { return CompareSlices(a.Slice, b.Slice) })
	return next
}

// assignmentOf is the inverse of Assignment.Entry.
func assignmentOf(entry wire.TableEntry) Assignment {
	return Assignment{
		Slice:   entry.Slice,
		Owner:   entry.Server,
		Fence:   entry.Fence,
		Bundle:  entry.Bundle,
		State:   entry.State,
		Shared:  entry.Shared,
		Refusal: entry.Refusal,
	}
}
