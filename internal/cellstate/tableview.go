package cellstate

import (
	"maps"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// Loads holds, by server, the requests in flight that it last reported.
type Loads map[bundle.ServerName]int

// TableView is what the table stream tells the gateways about.
type TableView struct {
	State State
	Loads Loads
}

// Version returns the version of the table made from the state.
func (s State) Version() wire.TableVersion {
	return wire.TableVersion{Generation: s.Generation, Index: s.Index}
}

// Entry returns the assignment as gateways see it.
func (a Assignment) Entry() wire.TableEntry {
	return wire.TableEntry{
		Slice:   a.Slice,
		Server:  a.Owner,
		Fence:   a.Fence,
		Bundle:  a.Bundle,
		State:   a.State,
		Shared:  a.Shared,
		Refusal: a.Refusal,
	}
}

// TableEntries returns all assignments as gateways see them, in order.
func (s State) TableEntries() []wire.TableEntry {
	entries := make([]wire.TableEntry, 0, len(s.Assignments))
	for _, assignment := range s.Assignments {
		entries = append(entries, assignment.Entry())
	}
	return entries
}

// TableServers returns all servers as gateways see them, ordered by name.
func (v TableView) TableServers() []wire.TableServer {
	names := v.State.ServerNames()
	servers := make([]wire.TableServer, 0, len(names))
	for _, name := range names {
		servers = append(servers, v.tableServer(name))
	}
	return servers
}

func (v TableView) tableServer(name bundle.ServerName) wire.TableServer {
	server := v.State.Servers[name]
	return wire.TableServer{
		Name:        server.Name,
		Address:     server.Address,
		Zone:        server.Zone,
		Slots:       server.Slots,
		Connections: server.Connections,
		Draining:    server.Draining,
		Load:        v.Loads[name],
	}
}

// Snapshot returns the update that replaces a gateway's whole table.
func (v TableView) Snapshot() wire.TableUpdate {
	update := wire.TableUpdate{
		Cell:        v.State.Cell,
		Version:     v.State.Version(),
		Snapshot:    true,
		Assignments: v.State.TableEntries(),
		Servers:     v.TableServers(),
	}
	for _, team := range v.State.bundleTeams() {
		update.Bundles = append(update.Bundles, v.State.Teams[team].Bundle)
	}
	return update
}

// Delta returns the update that leads from the old view to the new one. It
// takes one pass over the assignments, and none if they are the same in memory.
func Delta(old, next TableView) wire.TableUpdate {
	update := wire.TableUpdate{
		Cell:    next.State.Cell,
		Version: next.State.Version(),
		From:    old.State.Version(),
	}
	for _, team := range next.State.bundleTeams() {
		adopted := next.State.Teams[team].Bundle
		if old.State.Teams[team].Bundle.Version != adopted.Version {
			update.Bundles = append(update.Bundles, adopted)
		}
	}
	if !sameMemory(old.State.Assignments, next.State.Assignments) {
		compareAssignments(&update, old.State.Assignments, next.State.Assignments)
	}
	compareServers(&update, old, next)
	return update
}

// Empty reports whether an update would change nothing but the version.
func Empty(update wire.TableUpdate) bool {
	return len(update.Bundles) == 0 && len(update.Assignments) == 0 && len(update.Removed) == 0 &&
		len(update.Servers) == 0 && len(update.RemovedServers) == 0
}

func sameMemory(a, b []Assignment) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// compareAssignments merges the two ordered lists. A slice whose range changed
// counts as one removed and one added.
func compareAssignments(update *wire.TableUpdate, old, next []Assignment) {
	for len(old) > 0 || len(next) > 0 {
		switch order := compareHeads(old, next); {
		case order < 0:
			update.Removed = append(update.Removed, old[0].Slice)
			old = old[1:]
		case order > 0:
			update.Assignments = append(update.Assignments, next[0].Entry())
			next = next[1:]
		default:
			compareSame(update, old[0], next[0])
			old, next = old[1:], next[1:]
		}
	}
}

// compareHeads orders the first elements; an empty list is after everything.
func compareHeads(old, next []Assignment) int {
	if len(old) == 0 {
		return 1
	}
	if len(next) == 0 {
		return -1
	}
	return CompareSlices(old[0].Slice, next[0].Slice)
}

func compareSame(update *wire.TableUpdate, old, next Assignment) {
	if old.Slice != next.Slice {
		update.Removed = append(update.Removed, old.Slice)
	}
	if old.Entry() != next.Entry() {
		update.Assignments = append(update.Assignments, next.Entry())
	}
}

func compareServers(update *wire.TableUpdate, old, next TableView) {
	for _, name := range next.State.ServerNames() {
		_, known := old.State.Servers[name]
		server := next.tableServer(name)
		if !known || old.tableServer(name) != server {
			update.Servers = append(update.Servers, server)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old.State.Servers)) {
		if _, stays := next.State.Servers[name]; !stays {
			update.RemovedServers = append(update.RemovedServers, name)
		}
	}
}
