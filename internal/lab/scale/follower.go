package scale

import (
	"slices"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// tableFollower rebuilds, from a stream, as much of a cell's state as the table
// shows, as a standby does in package controller.
type tableFollower struct {
	state cellstate.State
}

func (f *tableFollower) apply(update wire.TableUpdate) bool {
	if update.Heartbeat {
		return false
	}
	next := f.state.Clone()
	if update.Snapshot {
		next = cellstate.New(update.Cell, update.Version.Generation)
	}
	next.Generation = update.Version.Generation
	next.Index = update.Version.Index
	for _, adopted := range update.Bundles {
		next.Teams[adopted.Team] = cellstate.Team{Bundle: adopted}
	}
	for _, name := range update.RemovedServers {
		delete(next.Servers, name)
	}
	for _, one := range update.Servers {
		next.Servers[one.Name] = cellstate.Server{
			Name: one.Name, Address: one.Address, Zone: one.Zone,
			Slots: one.Slots, Connections: one.Connections, Draining: one.Draining,
		}
	}
	next.Assignments = replaceAssignments(next.Assignments, update)
	f.state = next
	return true
}

func replaceAssignments(held []cellstate.Assignment, update wire.TableUpdate) []cellstate.Assignment {
	gone := map[keyspace.Slice]bool{}
	for _, slice := range update.Removed {
		gone[slice] = true
	}
	for _, entry := range update.Assignments {
		gone[entry.Slice] = true
	}
	var next []cellstate.Assignment
	for _, assignment := range held {
		if !gone[assignment.Slice] {
			next = append(next, assignment)
		}
	}
	for _, entry := range update.Assignments {
		next = append(next, cellstate.Assignment{
			Slice: entry.Slice, Owner: entry.Server, Fence: entry.Fence, Bundle: entry.Bundle,
			State: entry.State, Shared: entry.Shared, Refusal: entry.Refusal,
		})
	}
	slices.SortFunc(next, func(a, b cellstate.Assignment) int { return cellstate.CompareSlices(a.Slice, b.Slice) })
	return next
}
