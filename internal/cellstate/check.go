package cellstate

import (
	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Error is the class of errors of this package.
var Error = errs.Class("cellstate")

// Check returns an error of class Error if the state breaks an invariant that
// Apply keeps. It is meant for a state from outside, such as a checkpoint, and
// for tests; it takes one pass over the assignments.
func (s State) Check() error {
	if err := s.checkOrder(); err != nil {
		return err
	}
	for _, assignment := range s.Assignments {
		if err := s.checkAssignment(assignment); err != nil {
			return err
		}
	}
	if err := s.checkDivided(); err != nil {
		return err
	}
	if err := s.checkServers(); err != nil {
		return err
	}
	return s.checkCoverage()
}

// checkOrder finds slices out of order, overlapping or empty.
func (s State) checkOrder() error {
	for i, assignment := range s.Assignments {
		slice := assignment.Slice
		if slice.Range.First > slice.Range.Last {
			return Error.New("slice %s ends before it begins", slice)
		}
		if i == 0 {
			continue
		}
		before := s.Assignments[i-1].Slice
		if before.Overlaps(slice) || CompareSlices(before, slice) >= 0 {
			return Error.New("slice %s is not after %s", slice, before)
		}
	}
	return nil
}

func (s State) checkAssignment(assignment Assignment) error {
	slice := assignment.Slice
	if assignment.Bundle != s.versionOf(slice.Service) {
		return Error.New("slice %s has version %d", slice, assignment.Bundle)
	}
	if assignment.Fence > wire.NewFence(s.Generation, s.Index) {
		return Error.New("slice %s has a fence of the future", slice)
	}
	if !assignment.Owned() {
		return s.checkUnowned(assignment)
	}
	server, known := s.Servers[assignment.Owner]
	if !known || server.Service != slice.Service || assignment.OwnerIncarnation == "" {
		return Error.New("slice %s has no such owner %q", slice, assignment.Owner)
	}
	if assignment.Refusal != "" {
		return Error.New("slice %s is owned and refused", slice)
	}
	serving := assignment.State == wire.SliceServing
	if !serving && assignment.State != wire.SliceReleasing {
		return Error.New("slice %s is owned in state %q", slice, assignment.State)
	}
	if serving && assignment.Divided {
		return Error.New("slice %s is served while its keys are divided", slice)
	}
	if serving && !s.AllowedZones(slice).Allows(server.Zone) {
		return Error.New("slice %s is served in zone %q", slice, server.Zone)
	}
	return nil
}

func (s State) checkUnowned(assignment Assignment) error {
	if assignment.OwnerIncarnation != "" || assignment.State != "" {
		return Error.New("slice %s is unowned in state %q", assignment.Slice, assignment.State)
	}
	if !s.inBundle(assignment.Slice) {
		return Error.New("slice %s is of no bundle", assignment.Slice)
	}
	return nil
}

func (s State) versionOf(service keyspace.ServiceName) bundle.Version {
	if service == LedgerService {
		return LedgerVersion
	}
	return s.Teams[TeamOf(service)].Bundle.Version
}

func (s State) checkServers() error {
	addresses := map[string]bundle.ServerName{}
	for _, name := range s.ServerNames() {
		server := s.Servers[name]
		if other, taken := addresses[server.Address]; taken {
			return Error.New("servers %q and %q share an address", other, name)
		}
		addresses[server.Address] = name
		if server.Name != name || server.Draining != (server.Leaving || server.DrainRequested || server.MachineLeaving) {
			return Error.New("server %q contradicts itself", name)
		}
	}
	return nil
}

// checkCoverage finds a hash without a slice in a partition of a bundle.
func (s State) checkCoverage() error {
	for _, team := range s.bundleTeams() {
		for _, wanted := range wantedPartitions(s.Teams[team].Bundle) {
			if !s.covers(wanted.key) {
				return Error.New("partition %s/%s has a gap", wanted.key.service, wanted.key.partition)
			}
		}
	}
	return nil
}

func (s State) covers(key partitionKey) bool {
	start := keyspace.Slice{Service: key.service, Partition: key.partition}
	place, _ := s.search(start)
	var held []Assignment
	for ; place < len(s.Assignments) && s.Assignments[place].Slice.SamePartition(start); place++ {
		held = append(held, s.Assignments[place])
	}
	return len(held) > 0 && len(gaps(held)) == 0
}
