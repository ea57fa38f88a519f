// Package topology says where things stand: zones, the regions that they belong to, and
// how far one place is from another.
//
// It is pure. A Map is never changed after New.
package topology

import "slices"

// Zone is a place with its own power and network.
type Zone string

// Region is a set of zones that are close to one another. Links between regions are
// shared by all traffic and slower than those between zones.
type Region string

// Distance says how far a place is, as far as decisions are concerned. Nearer ones are
// less.
type Distance int

// Distances.
const (
	// SameZone costs nothing.
	SameZone Distance = iota
	// SameRegion is another zone of the region.
	SameRegion
	// OtherRegion lies behind a shared link.
	OtherRegion
)

// String implements fmt.Stringer.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "same-zone"
	case SameRegion:
		return "same-region"
	}
	return "other-region"
}

// Map says which region each zone belongs to. The zero value knows no zones.
type Map struct {
	regions map[Zone]Region
	// count is how many regions were given; each request asks for it.
	count int
}

// New returns a map of zones. It keeps a copy.
func New(regions map[Zone]Region) Map {
	m := Map{regions: make(map[Zone]Region, len(regions))}
	named := map[Region]bool{}
	for zone, region := range regions {
		m.regions[zone] = region
		named[region] = true
	}
	m.count = len(named)
	return m
}

// Region returns a zone's region. A zone that is not known is a region of its own: taken
// for near it would be sent what the link between regions cannot carry. A map without
// any zones says that there is one region only, which has no name.
func (m Map) Region(zone Zone) Region {
	if len(m.regions) == 0 {
		return ""
	}
	if region, known := m.regions[zone]; known {
		return region
	}
	return Region(zone)
}

// Known reports whether a zone's region was given, or none was for any.
func (m Map) Known(zone Zone) bool {
	_, known := m.regions[zone]
	return known || len(m.regions) == 0
}

// Regions returns how many regions there are; one if no zones are known.
func (m Map) RegionCount() int { return max(1, m.count) }

// Zones returns the zones of some regions, in the order of their names.
func (m Map) Zones(regions []Region) []Zone {
	var zones []Zone
	for zone, region := range m.regions {
		if slices.Contains(regions, region) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Distance returns how far a zone is from another.
func (m Map) Distance(from, to Zone) Distance {
	switch {
	case from == to:
		return SameZone
	case m.Region(from) == m.Region(to):
		return SameRegion
	}
	return OtherRegion
}
