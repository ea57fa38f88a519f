package operator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/wire"
)

// Status prints who owns what, the leases, the replicas and the back ends.
func Status(ctx context.Context, output Output, client *Client) ExitCode {
	status, err := client.Status(ctx)
	if err != nil {
		return output.Fail(err)
	}
	if output.JSON {
		output.json(status)
		return ExitOK
	}
	writeGroup(output.Result, status)
	writeTeams(output.Result, status.State)
	writeServers(output.Result, status)
	writeAssignments(output.Result, status.State)
	writeCounters(output.Result, status.Counters)
	return ExitOK
}

func writeGroup(writer io.Writer, status adminapi.Status) {
	fmt.Fprintf(writer, "cell %s, generation %d, term %d, commit %d, checkpoint %d\n\n",
		status.Cell, status.Generation, status.Group.Term, status.Group.Commit, status.CheckpointIndex)
	table := newTable(writer)
	fmt.Fprintln(table, "REPLICA\tADDRESS\tZONE\tROLE\tMATCH")
	for _, member := range status.Group.Membership.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n",
			member.ID, member.Address, member.Zone, roleOf(status.Group, member), matchOf(status.Group, member))
	}
	table.Flush()
}

func roleOf(group consensus.Status, member consensus.Member) consensus.Role {
	switch {
	case member.ID == group.Leader:
		return consensus.RoleLeader
	case member.Learner:
		return consensus.RoleLearner
	default:
		return consensus.RoleFollower
	}
}

func matchOf(group consensus.Status, member consensus.Member) string {
	for _, progress := range group.Match {
		if progress.ID == member.ID {
			return fmt.Sprint(progress.Match)
		}
	}
	return "-"
}

func writeTeams(writer io.Writer, state cellstate.State) {
	table := newTable(writer)
	fmt.Fprintln(table, "\nTEAM\tBUNDLE\tIN FORCE\tDIGEST")
	for _, name := range slices.Sorted(maps.Keys(state.Teams)) {
		team := state.Teams[name]
		fmt.Fprintf(table, "%s\t%d\t%t\t%.12s\n", name, team.Bundle.Version, team.InForce, team.Digest)
	}
	table.Flush()
}

func writeServers(writer io.Writer, status adminapi.Status) {
	views := map[bundle.ServerName]grant.ServerView{}
	for _, view := range status.Servers {
		views[view.Name] = view
	}
	owned := countOwned(status.State)
	table := newTable(writer)
	fmt.Fprintln(table, "\nSERVER\tADDRESS\tZONE\tLIVE\tDRAINING\tSLICES\tIN FLIGHT")
	for _, name := range slices.Sorted(maps.Keys(status.State.Servers)) {
		server := status.State.Servers[name]
		view := views[name]
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\t%d\n",
			name, server.Address, server.Zone, view.Live, server.Draining, owned[name], view.Load.InFlight)
	}
	table.Flush()
}

func countOwned(state cellstate.State) map[bundle.ServerName]int {
	owned := map[bundle.ServerName]int{}
	for _, assignment := range state.Assignments {
		if assignment.Owner != "" {
			owned[assignment.Owner]++
		}
	}
	return owned
}

func writeAssignments(writer io.Writer, state cellstate.State) {
	table := newTable(writer)
	fmt.Fprintln(table, "\nSERVICE\tPARTITION\tRANGE\tOWNER\tFENCE\tBUNDLE\tSTATE")
	for _, assignment := range state.Assignments {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			assignment.Slice.Service, assignment.Slice.Partition, assignment.Slice.Range,
			orDash(assignment.Owner), fenceOf(assignment), assignment.Bundle, stateOf(assignment))
	}
	table.Flush()
}

// fenceOf writes a fence as generation.index, which people can compare.
func fenceOf(assignment cellstate.Assignment) string {
	if assignment.Owner == "" {
		return "-"
	}
	generation := assignment.Fence.Generation()
	index := assignment.Fence - wire.NewFence(generation, 0)
	return fmt.Sprintf("%d.%s", generation, index)
}

func stateOf(assignment cellstate.Assignment) string {
	if assignment.Refusal != "" {
		return "refused: " + string(assignment.Refusal)
	}
	if assignment.Owner == "" {
		return "unowned"
	}
	return string(assignment.State)
}

func writeCounters(writer io.Writer, counters []adminapi.Counter) {
	table := newTable(writer)
	fmt.Fprintln(table, "\nCOUNTER\tVALUE")
	for _, counter := range counters {
		fmt.Fprintf(table, "%s\t%d\n", counter.Name, counter.Value)
	}
	table.Flush()
}
