package cellstate

import (
	"maps"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Apply returns the state after the command at index, and why it was rejected
// if it was. The index advances in both cases. The given state is not changed;
// the two states may share maps and slices, so neither may be changed in place.
//
// One command costs at most one copy of the assignments; AdoptBundle sorts them
// once.
func Apply(state State, index uint64, command Command) (State, Rejection) {
	next := state
	next.Index = index
	rejection := next.apply(command)
	if rejection != Applied {
		next = state
		next.Index = index
	}
	return next, rejection
}

// apply changes s, which shares its maps and slices with the former state: each
// step replaces a map or slice by a changed copy, never an element of it.
func (s *State) apply(command Command) Rejection {
	if command.fieldsSet() != 1 {
		return RejectedMalformed
	}
	switch {
	case command.AdoptBundle != nil:
		return s.adoptBundle(*command.AdoptBundle)
	case command.MarkInForce != nil:
		return s.markInForce(*command.MarkInForce)
	case command.RegisterServer != nil:
		return s.registerServer(command.RegisterServer.Server)
	case command.DrainServer != nil:
		return s.drainServer(*command.DrainServer)
	case command.RemoveServer != nil:
		return s.removeServer(command.RemoveServer.Server)
	case command.Assign != nil:
		return s.assign(*command.Assign)
	case command.BeginRelease != nil:
		return s.beginRelease(*command.BeginRelease)
	case command.Unassign != nil:
		return s.unassign(*command.Unassign)
	case command.Refuse != nil:
		return s.refuse(*command.Refuse)
	case command.Split != nil:
		return s.split(*command.Split)
	default:
		return s.merge(*command.Merge)
	}
}

func (c Command) fieldsSet() int {
	set := []bool{
		c.AdoptBundle != nil, c.MarkInForce != nil, c.RegisterServer != nil, c.DrainServer != nil,
		c.RemoveServer != nil, c.Assign != nil, c.BeginRelease != nil, c.Unassign != nil,
		c.Refuse != nil, c.Split != nil, c.Merge != nil,
	}
	count := 0
	for _, isSet := range set {
		if isSet {
			count++
		}
	}
	return count
}

func (s *State) markInForce(mark MarkInForce) Rejection {
	team, found := s.Teams[mark.Team]
	if !found || team.Bundle.Version != mark.Version {
		return RejectedOldVersion
	}
	team.InForce = true
	s.setTeam(mark.Team, team)
	return Applied
}

func (s *State) assign(assign Assign) Rejection {
	place, found := s.find(assign.Slice)
	if !found {
		return RejectedUnknownSlice
	}
	if s.Assignments[place].Owned() {
		return RejectedOwned
	}
	if s.Assignments[place].Divided {
		return RejectedKeysHeld
	}
	if rejection := s.mayOwn(assign, s.Assignments[place].Shared); rejection != Applied {
		return rejection
	}
	assignment := s.Assignments[place]
	assignment.Owner = assign.Owner
	assignment.OwnerIncarnation = assign.Incarnation
	assignment.Fence = wire.NewFence(s.Generation, s.Index)
	assignment.State = wire.SliceServing
	assignment.Refusal = ""
	s.setAssignment(place, assignment)
	return Applied
}

// mayOwn checks the server of an Assign. The incarnation must be the registered
// one: an earlier run of the process can't take the grant any more.
func (s *State) mayOwn(assign Assign, shared bool) Rejection {
	server, found := s.Servers[assign.Owner]
	if !found || server.Service != assign.Slice.Service {
		return RejectedServer
	}
	if assign.Incarnation == "" || assign.Incarnation != server.Incarnation {
		return RejectedServer
	}
	if shared && server.Name != poolServer(assign.Slice) {
		return RejectedServer
	}
	if server.Draining {
		return RejectedDraining
	}
	if !s.AllowedZones(assign.Slice).Allows(server.Zone) {
		return RejectedZone
	}
	return Applied
}

// poolServer returns the only server that may own a shared slice.
func poolServer(slice keyspace.Slice) bundle.ServerName {
	return bundle.ServerName(string(slice.Service) + "/" + string(slice.Partition))
}

func (s *State) beginRelease(release BeginRelease) Rejection {
	place, rejection := s.findOwned(release.Slice, release.Fence)
	if rejection != Applied {
		return rejection
	}
	assignment := s.Assignments[place]
	assignment.State = wire.SliceReleasing
	s.setAssignment(place, assignment)
	return Applied
}

func (s *State) unassign(unassign Unassign) Rejection {
	place, rejection := s.findOwned(unassign.Slice, unassign.Fence)
	if rejection != Applied {
		return rejection
	}
	owner := s.Assignments[place].Owner
	if s.inBundle(unassign.Slice) {
		s.setAssignment(place, unowned(s.Assignments[place]))
	} else {
		s.Assignments = slices.Delete(slices.Clone(s.Assignments), place, place+1)
	}
	s.clearDivided(unassign.Slice.Service)
	s.settleServer(owner)
	return Applied
}

// unowned returns the assignment without its owner. It keeps the fence, so that
// fences of a slice only rise.
func unowned(assignment Assignment) Assignment {
	assignment.Owner = ""
	assignment.OwnerIncarnation = ""
	assignment.State = ""
	return assignment
}

// findOwned returns the place of an owned slice under exactly this fence.
func (s *State) findOwned(slice keyspace.Slice, fence wire.Fence) (int, Rejection) {
	place, found := s.find(slice)
	if !found {
		return 0, RejectedUnknownSlice
	}
	if !s.Assignments[place].Owned() || s.Assignments[place].Fence != fence {
		return 0, RejectedFence
	}
	return place, Applied
}

func (s *State) refuse(refuse Refuse) Rejection {
	place, found := s.find(refuse.Slice)
	if !found {
		return RejectedUnknownSlice
	}
	if s.Assignments[place].Owned() {
		return RejectedOwned
	}
	assignment := s.Assignments[place]
	assignment.Refusal = refuse.Reason
	s.setAssignment(place, assignment)
	return Applied
}

func (s *State) setAssignment(place int, assignment Assignment) {
	s.Assignments = slices.Clone(s.Assignments)
	s.Assignments[place] = assignment
}

func (s *State) setTeam(name bundle.TeamName, team Team) {
	s.Teams = maps.Clone(s.Teams)
	if s.Teams == nil {
		s.Teams = map[bundle.TeamName]Team{}
	}
	s.Teams[name] = team
}

func (s *State) setServer(server Server) {
	s.Servers = maps.Clone(s.Servers)
	if s.Servers == nil {
		s.Servers = map[bundle.ServerName]Server{}
	}
	server.Draining = server.Leaving || server.DrainRequested || server.MachineLeaving
	s.Servers[server.Name] = server
}

func (s *State) deleteServer(name bundle.ServerName) {
	s.Servers = maps.Clone(s.Servers)
	delete(s.Servers, name)
}
