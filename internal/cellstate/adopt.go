package cellstate

import (
	"maps"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// partitionKey names a partition across services.
type partitionKey struct {
	service   keyspace.ServiceName
	partition keyspace.PartitionName
}

// wantedPartition is what the adopted bundle asks of a partition.
type wantedPartition struct {
	key    partitionKey
	count  int
	shared bool
	zones  ZoneRule
	// divided says that its keys may have been in another partition before.
	divided bool
}

func (s *State) adoptBundle(adopt AdoptBundle) Rejection {
	team := adopt.Bundle.Team
	if team == "" || team == SystemTeam || adopt.Bundle.Cell != s.Cell {
		return RejectedMalformed
	}
	if adopt.Bundle.Version <= s.Teams[team].Bundle.Version {
		return RejectedOldVersion
	}
	if s.changesKind(adopt.Bundle) {
		return RejectedKind
	}
	if len(s.Conflicts(adopt.Bundle)) > 0 {
		return RejectedConflict
	}
	former := divisionOf(s.Teams[team].Bundle)
	s.setTeam(team, Team{Bundle: adopt.Bundle, Digest: adopt.Digest})
	s.settleTeam(team)
	s.settleAssignments(team, former)
	return Applied
}

// Conflicts returns a problem for each route and address of the bundle that the
// adopted bundle of another team has.
func (s *State) Conflicts(next bundle.Bundle) []bundle.Problem {
	adopted := make([]bundle.Bundle, 0, len(s.Teams))
	for _, name := range slices.Sorted(maps.Keys(s.Teams)) {
		adopted = append(adopted, s.Teams[name].Bundle)
	}
	return bundle.Conflicts(next, adopted)
}

// changesKind reports whether assignments remain of a service that was keyed
// and becomes a pool, or the other way round. The grants of the two last for
// different times, so that one waiting rule would not hold for both.
func (s *State) changesKind(next bundle.Bundle) bool {
	pools := map[keyspace.ServiceName]bool{}
	for _, service := range next.Services {
		pools[next.ServiceName(service)] = service.Kind == bundle.KindPool
	}
	for _, assignment := range s.Assignments {
		pool, listed := pools[assignment.Slice.Service]
		if listed && assignment.Shared != pool {
			return true
		}
	}
	return false
}

// settleAssignments makes the assignments of a team follow its adopted bundle;
// former is the division of keys before.
func (s *State) settleAssignments(team bundle.TeamName, former division) {
	var next []Assignment
	existing := map[partitionKey][]Assignment{}
	for _, assignment := range s.Assignments {
		if TeamOf(assignment.Slice.Service) != team {
			next = append(next, assignment)
			continue
		}
		key := partitionKey{assignment.Slice.Service, assignment.Slice.Partition}
		existing[key] = append(existing[key], assignment)
	}
	version := s.Teams[team].Bundle.Version
	divided := divisionOf(s.Teams[team].Bundle)
	for _, wanted := range wantedPartitions(s.Teams[team].Bundle) {
		wanted.divided = !wanted.shared && former.changed(divided, wanted.key.service, divided[wanted.key])
		next = append(next, s.settlePartition(existing[wanted.key], wanted, version)...)
		delete(existing, wanted.key)
	}
	for _, gone := range existing {
		next = append(next, releaseAll(gone, version)...)
	}
	slices.SortFunc(next, func(a, b Assignment) int { return CompareSlices(a.Slice, b.Slice) })
	s.Assignments = next
	for _, service := range servicesOf(next) {
		s.clearDivided(service)
	}
}

// servicesOf returns the services of the ordered assignments.
func servicesOf(assignments []Assignment) []keyspace.ServiceName {
	var names []keyspace.ServiceName
	for _, assignment := range assignments {
		names = append(names, assignment.Slice.Service)
	}
	return slices.Compact(names)
}

// settlePartition takes over the slices that exist, under the new version, and
// adds unowned ones for the hashes that none of them has.
func (s *State) settlePartition(existing []Assignment, wanted wantedPartition, version bundle.Version) []Assignment {
	if len(existing) == 0 {
		return newAssignments(wanted, keyspace.SplitEvenly(wanted.count), version)
	}
	settled := newAssignments(wanted, gaps(existing), version)
	for _, assignment := range existing {
		assignment.Bundle = version
		assignment.Refusal = ""
		assignment.Divided = assignment.Divided || wanted.divided
		allowed := wanted.zones.Allows(s.Servers[assignment.Owner].Zone)
		if assignment.Owned() && (!allowed || assignment.Divided) {
			assignment.State = wire.SliceReleasing
		}
		settled = append(settled, assignment)
	}
	return settled
}

// releaseAll keeps only the owned slices of a partition that is gone. They
// leave the state when they are unassigned.
func releaseAll(gone []Assignment, version bundle.Version) []Assignment {
	var kept []Assignment
	for _, assignment := range gone {
		if !assignment.Owned() {
			continue
		}
		assignment.Bundle = version
		assignment.State = wire.SliceReleasing
		assignment.Divided = !assignment.Shared
		kept = append(kept, assignment)
	}
	return kept
}

func newAssignments(wanted wantedPartition, ranges []keyspace.Range, version bundle.Version) []Assignment {
	assignments := make([]Assignment, 0, len(ranges))
	for _, hashes := range ranges {
		assignments = append(assignments, Assignment{
			Slice:   keyspace.Slice{Service: wanted.key.service, Partition: wanted.key.partition, Range: hashes},
			Bundle:  version,
			Shared:  wanted.shared,
			Divided: wanted.divided,
		})
	}
	return assignments
}

// gaps returns the ranges that the ordered assignments of a partition leave.
func gaps(existing []Assignment) []keyspace.Range {
	var missing []keyspace.Range
	next := keyspace.Hash(0)
	for _, assignment := range existing {
		if assignment.Slice.Range.First > next {
			missing = append(missing, keyspace.Range{First: next, Last: assignment.Slice.Range.First - 1})
		}
		next = assignment.Slice.Range.Last + 1
	}
	full := keyspace.FullRange()
	if existing[len(existing)-1].Slice.Range.Last != full.Last {
		missing = append(missing, keyspace.Range{First: next, Last: full.Last})
	}
	return missing
}

func wantedPartitions(b bundle.Bundle) []wantedPartition {
	var wanted []wantedPartition
	for _, service := range b.Services {
		name := b.ServiceName(service)
		if service.Kind == bundle.KindPool {
			wanted = append(wanted, poolPartitions(name, service)...)
			continue
		}
		for _, partition := range service.Partitions {
			wanted = append(wanted, wantedPartition{
				key:   partitionKey{name, partition.Name},
				count: startingSlices(service.Placement),
				zones: ZoneRule{Zones: partition.Zones},
			})
		}
	}
	return wanted
}

func poolPartitions(name keyspace.ServiceName, service bundle.Service) []wantedPartition {
	var wanted []wantedPartition
	for _, backend := range service.Backends {
		wanted = append(wanted, wantedPartition{
			key:    partitionKey{name, keyspace.PartitionName(backend.Name)},
			count:  1,
			shared: true,
			zones:  ZoneRule{Zones: []bundle.Zone{backend.Zone}},
		})
	}
	return wanted
}

func startingSlices(placement bundle.Placement) int {
	if placement.Slices == 0 {
		return DefaultSlices
	}
	return placement.Slices
}

// inBundle reports whether the slice's partition is still wanted.
func (s *State) inBundle(slice keyspace.Slice) bool {
	_, found := s.partitionRule(slice)
	return found
}

// bundleTeams returns the names of all teams in order.
func (s *State) bundleTeams() []bundle.TeamName {
	return slices.Sorted(maps.Keys(s.Teams))
}
