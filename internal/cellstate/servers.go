package cellstate

import (
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

func (s *State) registerServer(server Server) Rejection {
	if server.Name == "" || server.Incarnation == "" {
		return RejectedMalformed
	}
	known, found := s.Servers[server.Name]
	if found {
		return s.registerIncarnation(known, server)
	}
	if server.Service != LedgerService || server.Address == "" || server.Zone == "" {
		return RejectedServer
	}
	if s.atOtherServer(server) {
		return RejectedServer
	}
	server.Leaving = false
	server.DrainRequested = server.Draining
	server.MachineLeaving = false
	s.setServer(server)
	s.ensureLedger()
	return Applied
}

// registerIncarnation records a new run of a known server. What the former run
// owned stays owned by that run until it is unassigned. A server that moved to
// another address or zone is taken over only once it owns nothing.
func (s *State) registerIncarnation(known, server Server) Rejection {
	if server.Service != known.Service {
		return RejectedServer
	}
	moved := server.Address != known.Address || server.Zone != known.Zone
	if moved && (known.Service != LedgerService || s.atOtherServer(server)) {
		return RejectedServer
	}
	if moved && s.owns(known.Name) {
		return RejectedOwned
	}
	if moved {
		known.Address = server.Address
		known.Zone = server.Zone
	}
	if known.Incarnation != server.Incarnation {
		known.DrainRequested = false
	}
	known.Incarnation = server.Incarnation
	s.setServer(known)
	return Applied
}

// ensureLedger makes the slices of the idempotency records.
func (s *State) ensureLedger() {
	for _, assignment := range s.Assignments {
		if assignment.Slice.Service == LedgerService {
			return
		}
	}
	wanted := wantedPartition{key: partitionKey{LedgerService, LedgerPartition}}
	added := newAssignments(wanted, keyspace.SplitEvenly(LedgerSlices), LedgerVersion)
	s.Assignments = slices.Concat(s.Assignments, added)
	slices.SortFunc(s.Assignments, func(a, b Assignment) int { return CompareSlices(a.Slice, b.Slice) })
}

func (s *State) drainServer(drain DrainServer) Rejection {
	server, found := s.Servers[drain.Server]
	if !found {
		return RejectedServer
	}
	if drain.Machine {
		server.MachineLeaving = drain.Draining
	} else {
		server.DrainRequested = drain.Draining
	}
	s.setServer(server)
	return Applied
}

// removeServer forgets a server of no bundle. A back end that a bundle lists
// stays known until a bundle no longer lists it.
func (s *State) removeServer(name bundle.ServerName) Rejection {
	server, found := s.Servers[name]
	if !found {
		return RejectedServer
	}
	if s.owns(name) {
		return RejectedOwned
	}
	if server.Service != LedgerService {
		return RejectedServer
	}
	s.deleteServer(name)
	return Applied
}

func (s *State) owns(name bundle.ServerName) bool {
	for _, assignment := range s.Assignments {
		if assignment.Owner == name {
			return true
		}
	}
	return false
}

// atOtherServer reports whether a server of another name has the address.
func (s *State) atOtherServer(wanted Server) bool {
	for name, server := range s.Servers {
		if server.Address == wanted.Address && name != wanted.Name {
			return true
		}
	}
	return false
}

// settleTeam makes the servers of a team follow its adopted bundle.
//
// A back end that is gone, or that has another address or zone than before, is
// another process: the known one becomes leaving, and is forgotten or replaced
// once it owns nothing. A back end at an address that a known server still has
// waits until that server is forgotten, so that no process holds two leases.
func (s *State) settleTeam(team bundle.TeamName) {
	listed := map[bundle.ServerName]Server{}
	for _, server := range wantedServers(s.Teams[team].Bundle) {
		listed[server.Name] = server
	}
	for _, name := range s.ServerNames() {
		if TeamOf(s.Servers[name].Service) == team {
			s.settleKnown(name, listed)
		}
	}
	for _, other := range s.bundleTeams() {
		s.addMissing(wantedServers(s.Teams[other].Bundle))
	}
}

// settleKnown compares one known server with the back ends that are listed.
func (s *State) settleKnown(name bundle.ServerName, listed map[bundle.ServerName]Server) {
	known := s.Servers[name]
	server, found := listed[name]
	if found && server.Address == known.Address && server.Zone == known.Zone {
		server.Incarnation = known.Incarnation
		server.DrainRequested = known.DrainRequested
		server.MachineLeaving = known.MachineLeaving
		s.setServer(server)
		return
	}
	if !s.owns(name) {
		s.deleteServer(name)
		return
	}
	known.Leaving = true
	s.setServer(known)
}

func (s *State) addMissing(wanted []Server) {
	for _, server := range wanted {
		_, known := s.Servers[server.Name]
		if !known && !s.atOtherServer(server) {
			s.setServer(server)
		}
	}
}

// settleServer forgets a server that its bundle no longer lists as it is, once
// it owns nothing, and lets back ends in that waited for its name or address.
func (s *State) settleServer(name bundle.ServerName) {
	server, found := s.Servers[name]
	if !found || !server.Leaving || s.owns(name) {
		return
	}
	s.settleTeam(TeamOf(server.Service))
}

func wantedServers(b bundle.Bundle) []Server {
	var servers []Server
	for _, service := range b.Services {
		for _, backend := range service.Backends {
			servers = append(servers, Server{
				Name:        b.ServerName(service, backend),
				Service:     b.ServiceName(service),
				Address:     backend.Address,
				Zone:        backend.Zone,
				Slots:       backend.Slots,
				Connections: backend.Connections,
				Leaving:     backend.Leaving,
			})
		}
	}
	return servers
}
