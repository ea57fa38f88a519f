package grant

import (
	"maps"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
)

// Proposals returns the commands that the leases call for at now: Unassign for
// slices released or surely expired, RegisterServer for a new incarnation,
// DrainServer for a server that asked, MarkInForce. The same command is
// returned again until Observe shows its effect.
//
// A slice that Proposals takes without a release is never granted again by
// this book, because the command may commit at any later time.
func (b *Book) Proposals(now clock.Instant) []cellstate.Command {
	b.noticePause(now)
	var commands []cellstate.Command
	for _, name := range b.names {
		held := b.leases[name]
		commands = append(commands, b.unassigns(held, now)...)
		commands = append(commands, b.registration(held, now)...)
		commands = append(commands, b.drain(held, now)...)
	}
	return append(commands, b.inForce(now)...)
}

func (b *Book) unassigns(held *lease, now clock.Instant) []cellstate.Command {
	var commands []cellstate.Command
	for _, assignment := range held.owned {
		if !b.mayUnassign(held, assignment, now) {
			continue
		}
		commands = append(commands, cellstate.Command{Unassign: &cellstate.Unassign{
			Slice: assignment.Slice,
			Fence: assignment.Fence,
		}})
	}
	held.refreshSet()
	return commands
}

// mayUnassign reports whether a slice was released, or its grant has surely
// ended and its owner is gone. In the second case the grant counts as taken.
func (b *Book) mayUnassign(held *lease, assignment cellstate.Assignment, now clock.Instant) bool {
	named := grantOf(assignment)
	if held.released[named] || held.taken[named] {
		return true
	}
	if !now.SurelyReached(b.endOf(held, assignment.OwnerIncarnation)) {
		return false
	}
	replaced := held.incarnation != "" && held.incarnation != assignment.OwnerIncarnation
	if !replaced && !b.unreachable(held, now) {
		return false
	}
	held.taken[named] = true
	return true
}

// unreachable reports whether the server has not answered for one Duration and
// a request since then failed.
func (b *Book) unreachable(held *lease, now clock.Instant) bool {
	return !b.live(held, now) && held.contact.failed
}

// registration proposes the incarnation that answers.
func (b *Book) registration(held *lease, now clock.Instant) []cellstate.Command {
	if held.incarnation == held.server.Incarnation || !b.live(held, now) {
		return nil
	}
	server := held.server
	server.Incarnation = held.incarnation
	return []cellstate.Command{{RegisterServer: &cellstate.RegisterServer{Server: server}}}
}

// drain proposes what the registered incarnation last said about draining.
func (b *Book) drain(held *lease, now clock.Instant) []cellstate.Command {
	if held.incarnation != held.server.Incarnation || !b.live(held, now) {
		return nil
	}
	if held.drainAsked == held.server.DrainRequested {
		return nil
	}
	return []cellstate.Command{{DrainServer: &cellstate.DrainServer{
		Server:   held.name,
		Draining: held.drainAsked,
	}}}
}

// inForce proposes MarkInForce for each team whose adopted version every live
// grant carries.
func (b *Book) inForce(now clock.Instant) []cellstate.Command {
	behind := map[bundle.TeamName]bool{}
	for _, name := range b.names {
		held := b.leases[name]
		if !b.carriesVersion(held, now) {
			behind[cellstate.TeamOf(held.server.Service)] = true
		}
	}
	var commands []cellstate.Command
	for _, name := range slices.Sorted(maps.Keys(b.state.Teams)) {
		team := b.state.Teams[name]
		if team.InForce || behind[name] {
			continue
		}
		commands = append(commands, cellstate.Command{MarkInForce: &cellstate.MarkInForce{
			Team:    name,
			Version: team.Bundle.Version,
		}})
	}
	return commands
}

// carriesVersion reports whether each grant that the server may hold carries
// the version of the committed state: the run that holds it confirmed a set
// with that version, or its grants have surely ended. A run whose grants ended
// gets new ones only with the present version.
func (b *Book) carriesVersion(held *lease, now clock.Instant) bool {
	for _, assignment := range held.owned {
		confirmed := assignment.OwnerIncarnation == held.incarnation && held.confirmed >= held.versionSet
		released := held.released[grantOf(assignment)]
		ended := now.SurelyReached(b.endOf(held, assignment.OwnerIncarnation))
		if !confirmed && !released && !ended {
			return false
		}
	}
	return true
}
