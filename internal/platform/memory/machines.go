package memory

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
)

// machineList shows each change only after the lag that was set when the
// change was made.
type machineList struct {
	lag       time.Duration
	published map[string]platform.Machine
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
	machines := []platform.Machine{}
	err := s.call(ctx, readCall, func() error {
		s.machines.publish(time.Now())
		for _, machine := range s.machines.published {
			machines = append(machines, machine)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(machines, compareMachines)
	return machines, nil
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
	if l.published == nil {
		l.published = map[string]platform.Machine{}
	}
	if change.machine == nil {
		delete(l.published, change.address)
		return
	}
	l.published[change.address] = *change.machine
}
