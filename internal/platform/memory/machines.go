package memory

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
)

// machineList shows each change only after the lag that was set when the
// change was made.
type machineList struct {
	lag       time.Duration
	published map[string]platform.Machine
	// run tells this list's revisions from those of another start.
	run string
	// changed holds, in order, the addresses of all changes that were published:
	// the first of them led to revision 1.
	changed []string
	// pending changes in the order in which they were made.
	pending []machineChange
}

// machineChange adds, replaces or removes one machine.
type machineChange struct {
	at      time.Time
	address string
	// machine is nil for a removal.
	machine *platform.Machine
}

// Machines implements platform.Machines, ordered by address.
func (s *Store) Machines(ctx context.Context) ([]platform.Machine, error) {
	var machines []platform.Machine
	err := s.call(ctx, readCall, func() error {
		s.machines.publish(time.Now())
		machines = s.machines.all()
		return nil
	})
	return machines, err
}

// MachineChanges implements platform.Machines.
func (s *Store) MachineChanges(ctx context.Context, since platform.MachineRevision) (platform.MachineChanges, error) {
	var changes platform.MachineChanges
	err := s.call(ctx, readCall, func() error {
		s.machines.publish(time.Now())
		changes = s.machines.since(since)
		return nil
	})
	return changes, err
}

// all returns the list ordered by address.
func (l *machineList) all() []platform.Machine {
	machines := []platform.Machine{}
	for _, machine := range l.published {
		machines = append(machines, machine)
	}
	slices.SortFunc(machines, compareMachines)
	return machines
}

// revision names the state after the first changes.
func (l *machineList) revision(changes int) platform.MachineRevision {
	return platform.MachineRevision(l.run + "-" + strconv.Itoa(changes))
}

// since returns what has changed since a revision, or all if the revision is
// not one of this list.
func (l *machineList) since(known platform.MachineRevision) platform.MachineChanges {
	changes := platform.MachineChanges{Revision: l.revision(len(l.changed))}
	_, number, _ := strings.Cut(string(known), "-")
	from, err := strconv.Atoi(number)
	if err != nil || from < 0 || from > len(l.changed) || known != l.revision(from) {
		changes.Whole = true
		changes.Machines = l.all()
		return changes
	}
	addresses := slices.Clone(l.changed[from:])
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if machine, listed := l.published[address]; listed {
			changes.Machines = append(changes.Machines, machine)
		} else {
			changes.Removed = append(changes.Removed, address)
		}
	}
	slices.SortFunc(changes.Machines, compareMachines)
	return changes
}

func compareMachines(a, b platform.Machine) int {
	first, firstErr := netip.ParseAddr(a.Address)
	second, secondErr := netip.ParseAddr(b.Address)
	if firstErr != nil || secondErr != nil {
		return strings.Compare(a.Address, b.Address)
	}
	return first.Compare(second)
}

// SetMachineLag makes changes from now on visible only after lag.
func (s *Store) SetMachineLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines.lag = lag
}

// SetMachine adds or replaces the machine with the same address.
func (s *Store) SetMachine(machine platform.Machine) {
	s.changeMachine(machine.Address, &machine)
}

// RemoveMachine takes the machine off the list.
func (s *Store) RemoveMachine(address string) {
	s.changeMachine(address, nil)
}

func (s *Store) changeMachine(address string, machine *platform.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines.pending = append(s.machines.pending, machineChange{
		at:      time.Now().Add(s.machines.lag),
		address: address,
		machine: machine,
	})
}

// publish applies, in order, the changes that are due. A change waits for the
// ones made before it, so that a machine's last state always wins.
func (l *machineList) publish(now time.Time) {
	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
}

func (l *machineList) apply(change machineChange) {
	l.changed = append(l.changed, change.address)
	if l.published == nil {
		l.published = map[string]platform.Machine{}
	}
	if change.machine == nil {
		delete(l.published, change.address)
		return
	}
	l.published[change.address] = *change.machine
}
