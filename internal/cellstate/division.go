package cellstate

import (
	"slices"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// A bundle may divide the keys of a service into other partitions than the one
// before. Slices of two partitions never overlap as slices, but then a key can
// lie in a slice that is still owned and in a new one. So every slice of a
// partition whose keys may come from another, or go to another, is marked as
// Divided: if it is owned it is released, and no marked slice of the service is
// assigned until none is owned any more.

// division is how a bundle divides the keys of its services: the prefixes of
// the partitions.
type division map[partitionKey]string

func divisionOf(b bundle.Bundle) division {
	made := division{}
	for _, service := range b.Services {
		if service.Kind == bundle.KindPool {
			continue
		}
		for _, partition := range service.Partitions {
			made[partitionKey{b.ServiceName(service), partition.Name}] = partition.Prefix
		}
	}
	return made
}

// changed reports whether a partition with the prefix may have other keys under
// next: one that has the prefix, or a longer one, is new, gone or another.
func (d division) changed(next division, service keyspace.ServiceName, prefix string) bool {
	return d.lacks(next, service, prefix) || next.lacks(d, service, prefix)
}

// lacks reports whether other has a partition at or below the prefix that d has
// not, or has with another prefix.
func (d division) lacks(other division, service keyspace.ServiceName, prefix string) bool {
	for key, its := range other {
		known, found := d[key]
		differs := !found || known != its
		if key.service == service && differs && strings.HasPrefix(its, prefix) {
			return true
		}
	}
	return false
}

// clearDivided takes the marks off a service of which no marked slice is owned.
func (s *State) clearDivided(service keyspace.ServiceName) {
	marked := false
	for _, assignment := range s.Assignments {
		if assignment.Slice.Service != service || !assignment.Divided {
			continue
		}
		if assignment.Owned() {
			return
		}
		marked = true
	}
	if !marked {
		return
	}
	s.Assignments = slices.Clone(s.Assignments)
	for i := range s.Assignments {
		if s.Assignments[i].Slice.Service == service {
			s.Assignments[i].Divided = false
		}
	}
}

// checkDivided finds a marked slice that is served, or one that waits for
// nothing.
func (s State) checkDivided() error {
	awaited := map[keyspace.ServiceName]bool{}
	for _, assignment := range s.Assignments {
		awaited[assignment.Slice.Service] = awaited[assignment.Slice.Service] || assignment.Divided && assignment.Owned()
	}
	for _, assignment := range s.Assignments {
		if assignment.Divided && !awaited[assignment.Slice.Service] {
			return Error.New("slice %s waits for nothing", assignment.Slice)
		}
	}
	return nil
}
