package controller

import (
	"context"
	"net"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/platform"
)

// machineList is the list as the leader read it last, by address.
type machineList map[string]platform.MachineState

// listMachines reads the list, bounded in time.
func (c *Controller) listMachines(ctx context.Context) ([]platform.Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	machines, err := c.machines.Machines(ctx)
	if err != nil {
		c.metrics.PlatformFailures.Inc()
	}
	return machines, err
}

// pollMachines reads the machine list while the term lasts.
func (r *replica) pollMachines(ctx context.Context, term *leadership) {
	for {
		listed, err := r.listMachines(ctx)
		if err == nil {
			r.postToTerm(ctx, term, func(r *replica) { r.leadership.machines = newMachineList(listed) })
		}
		if !sleep(ctx, machinePoll) {
			return
		}
	}
}

func newMachineList(listed []platform.Machine) machineList {
	list := machineList{}
	for _, machine := range listed {
		list[machine.Address] = machine.State
	}
	return list
}

// machineProposals drains the servers of machines that are leaving, and counts
// as drained no more those whose machine stays after all.
//
// A machine that is gone from the list needs no command. A server there that
// answers outvotes the list, which lags; one that does not answer has no lease,
// so placement gives it nothing and its slices are taken when its grants have
// ended. Draining it would only outlast a mistake of the list.
func (r *replica) machineProposals() []cellstate.Command {
	var commands []cellstate.Command
	for _, name := range r.state.ServerNames() {
		server := r.state.Servers[name]
		leaving := r.leadership.machines.leaving(server.Address)
		if leaving && !server.DrainRequested {
			commands = append(commands, drainCommand(server, true))
		}
	}
	return commands
}

func (l machineList) leaving(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && l[host] == platform.MachineLeaving
}

func drainCommand(server cellstate.Server, draining bool) cellstate.Command {
	return cellstate.Command{DrainServer: &cellstate.DrainServer{Server: server.Name, Draining: draining}}
}
