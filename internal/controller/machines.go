package controller

import (
	"context"
	"maps"
	"net"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// machineList is the machine list as it was read last, by address.
type machineList map[string]platform.MachineState

// listMachines reads the whole list afresh, bounded in time. Proof that a
// machine is gone rests on this and never on a copy.
func (c *Controller) listMachines(ctx context.Context) (machineList, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	machines, err := c.machines.Machines(ctx)
	if err != nil {
		c.metrics.PlatformFailures.Inc()
		return nil, err
	}
	return machineList{}.with(platform.MachineChanges{Machines: machines}), nil
}

// pollMachines keeps a copy of the machine list while the term lasts. It reads
// the list whole once, and then only what has changed.
func (r *replica) pollMachines(ctx context.Context, term *leadership) {
	var listed machineList
	var revision platform.MachineRevision
	for {
		changes, err := r.readMachineChanges(ctx, revision)
		if err == nil && !changes.None() {
			listed = listed.with(changes)
			current := listed
			r.postToTerm(ctx, term, func(r *replica) { r.leadership.machines = current })
		}
		if err == nil {
			revision = changes.Revision
		}
		if !clock.Sleep(ctx, machinePoll) {
			return
		}
	}
}

// readMachineChanges reads what has changed, bounded in time.
func (c *Controller) readMachineChanges(ctx context.Context, since platform.MachineRevision) (platform.MachineChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	changes, err := c.machines.MachineChanges(ctx, since)
	if err != nil {
		c.metrics.PlatformFailures.Inc()
	}
	return changes, err
}

// with returns a new list with the changes applied. The given list, which the
// loop may be reading, is left as it is.
func (l machineList) with(changes platform.MachineChanges) machineList {
	next := machineList{}
	if !changes.Whole {
		maps.Copy(next, l)
	}
	for _, address := range changes.Removed {
		delete(next, address)
	}
	for _, machine := range changes.Machines {
		next[machine.Address] = machine.State
	}
	return next
}

// machineProposals drains the servers of machines that are leaving, and ends
// that when the list calls the machine live again.
//
// A machine that is gone from the list needs no command. A server there that
// answers outvotes the list, which lags; one that does not answer has no lease,
// so placement gives it nothing and its slices are taken when its grants have
// ended. Draining it would only outlast a mistake of the list.
func (r *replica) machineProposals() []cellstate.Command {
	var commands []cellstate.Command
	for _, name := range r.state.ServerNames() {
		server := r.state.Servers[name]
		state := r.leadership.machines.stateOf(server.Address)
		switch {
		case state == platform.MachineLeaving && !server.MachineLeaving:
			commands = append(commands, drainCommand(name, true))
		case state == platform.MachineLive && server.MachineLeaving:
			commands = append(commands, drainCommand(name, false))
		}
	}
	return commands
}

// stateOf returns what the list says of the machine at an address with port;
// empty if it is not listed.
func (l machineList) stateOf(address string) platform.MachineState {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return l[host]
}

// unlisted returns the members whose machine is not on the list.
func (l machineList) unlisted(members []consensus.Member) []wire.Incarnation {
	var ids []wire.Incarnation
	for _, member := range members {
		if l.stateOf(member.Address) == "" {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func drainCommand(server bundle.ServerName, draining bool) cellstate.Command {
	return cellstate.Command{DrainServer: &cellstate.DrainServer{
		Server:   server,
		Draining: draining,
		Machine:  true,
	}}
}
