package cellstate

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// The service of the idempotency records belongs to no team and no bundle.
const (
	// SystemTeam is the team name that no bundle may use.
	SystemTeam bundle.TeamName = "system"
	// LedgerService keeps idempotency records; its servers are the gateways.
	LedgerService keyspace.ServiceName = "system/ledger"
	// LedgerPartition is its only partition.
	LedgerPartition keyspace.PartitionName = "all"
	// LedgerSlices is the number of slices that it starts with.
	LedgerSlices = 32
	// LedgerVersion stands for a bundle version in its grants.
	LedgerVersion bundle.Version = 1
)

// DefaultSlices is the number of slices of a partition whose bundle names none.
const DefaultSlices = 32

// Clone returns a deep copy, save for the bundles, which nobody changes.
func (s State) Clone() State {
	s.Teams = maps.Clone(s.Teams)
	s.Servers = maps.Clone(s.Servers)
	s.Assignments = slices.Clone(s.Assignments)
	return s
}

// ServiceOf returns the adopted definition of a service. It returns false for
// a service that no adopted bundle has, LedgerService among them.
func (s State) ServiceOf(name keyspace.ServiceName) (bundle.Service, bool) {
	team, short, found := strings.Cut(string(name), "/")
	if !found {
		return bundle.Service{}, false
	}
	for _, service := range s.Teams[bundle.TeamName(team)].Bundle.Services {
		if service.Name == short {
			return service, true
		}
	}
	return bundle.Service{}, false
}

// TeamOf returns the team of a service.
func TeamOf(name keyspace.ServiceName) bundle.TeamName {
	team, _, _ := strings.Cut(string(name), "/")
	return bundle.TeamName(team)
}

// IsPool reports whether the service is a pool in the adopted bundle.
func (s State) IsPool(name keyspace.ServiceName) bool {
	service, found := s.ServiceOf(name)
	return found && service.Kind == bundle.KindPool
}

// OwnedBy returns the assignments that the server owns, in order, of whatever
// incarnation.
func (s State) OwnedBy(server bundle.ServerName) []Assignment {
	var owned []Assignment
	for _, assignment := range s.Assignments {
		if assignment.Owner == server {
			owned = append(owned, assignment)
		}
	}
	return owned
}

// ServerNames returns the names of all servers in order.
func (s State) ServerNames() []bundle.ServerName {
	return slices.Sorted(maps.Keys(s.Servers))
}

// Assignment returns the assignment of exactly this slice.
func (s State) Assignment(slice keyspace.Slice) (Assignment, bool) {
	place, found := s.find(slice)
	if !found {
		return Assignment{}, false
	}
	return s.Assignments[place], true
}

// Find returns the assignment that holds hash in a partition.
func (s State) Find(service keyspace.ServiceName, partition keyspace.PartitionName, hash keyspace.Hash) (Assignment, bool) {
	wanted := keyspace.Slice{Service: service, Partition: partition, Range: keyspace.Range{First: hash, Last: hash}}
	place, exact := s.search(wanted)
	if !exact {
		place--
	}
	if place < 0 || !s.Assignments[place].Slice.Overlaps(wanted) {
		return Assignment{}, false
	}
	return s.Assignments[place], true
}

// find returns the place of exactly this slice in Assignments.
func (s State) find(slice keyspace.Slice) (int, bool) {
	place, found := s.search(slice)
	return place, found && s.Assignments[place].Slice == slice
}

// search returns the first place whose slice does not begin before the given
// one, and whether it begins at the same hash of the same partition.
func (s State) search(slice keyspace.Slice) (int, bool) {
	return slices.BinarySearchFunc(s.Assignments, slice, func(a Assignment, wanted keyspace.Slice) int {
		return CompareSlices(a.Slice, wanted)
	})
}

// CompareSlices orders slices by service, partition and first hash.
func CompareSlices(a, b keyspace.Slice) int {
	if order := cmp.Compare(a.Service, b.Service); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Partition, b.Partition); order != 0 {
		return order
	}
	return cmp.Compare(a.Range.First, b.Range.First)
}

// ZoneRule says in which zones a slice may be owned.
type ZoneRule struct {
	// Any allows every zone; Zones is then empty.
	Any   bool
	Zones []bundle.Zone
}

// Allows reports whether the slice may be owned in zone.
func (r ZoneRule) Allows(zone bundle.Zone) bool {
	return r.Any || slices.Contains(r.Zones, zone)
}

// AllowedZones returns where a slice may be owned. A slice of a service,
// partition or back end that no adopted bundle has may be owned nowhere.
func (s State) AllowedZones(slice keyspace.Slice) ZoneRule {
	rule, _ := s.partitionRule(slice)
	return rule
}

// partitionRule returns where a slice may be owned, and false if no adopted
// bundle has its partition.
func (s State) partitionRule(slice keyspace.Slice) (ZoneRule, bool) {
	if slice.Service == LedgerService {
		return ZoneRule{Any: true}, true
	}
	service, found := s.ServiceOf(slice.Service)
	if !found {
		return ZoneRule{}, false
	}
	if service.Kind == bundle.KindPool {
		return backendRule(service, string(slice.Partition))
	}
	for _, partition := range service.Partitions {
		if partition.Name == slice.Partition {
			return ZoneRule{Zones: partition.Zones}, true
		}
	}
	return ZoneRule{}, false
}

func backendRule(service bundle.Service, name string) (ZoneRule, bool) {
	for _, backend := range service.Backends {
		if backend.Name == name {
			return ZoneRule{Zones: []bundle.Zone{backend.Zone}}, true
		}
	}
	return ZoneRule{}, false
}
