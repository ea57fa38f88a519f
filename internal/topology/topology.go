// Package topology describes where processes run: zones, the regions that they belong to, and the
// distances between zones.
//
// It is pure. A Map is never changed after New.
package topology

import "slices"

// Zone is a place with its own power and network.
type Zone string

// Region is a set of zones that are close to one another. Links between regions are
// shared by all traffic and slower than those between zones.
type Region string

// Distance is how far a zone is from another, as far as decisions depend on it. Nearer zones have
// smaller values.
type Distance int

// Distances.
const (
	// SameZone costs nothing.
	SameZone Distance = iota
	// SameRegion is another zone of the region.
	SameRegion
	// OtherRegion is reached over a shared link.
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

// Map gives the region that each zone belongs to. The zero value has no zones.
type Map struct {
	regions map[Zone]Region
	// count is the number of regions. It is kept since each request needs it.
	count int
}

// New returns a map of zones to regions. It copies regions.
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

// Region returns a zone's region. An unknown zone is a separate region: if it were assumed to be
// near, it would be sent more than the link between regions can carry. A map without zones has a
// single region, which has no name.
func (m Map) Region(zone Zone) Region {
	if len(m.regions) == 0 {
		return ""
	}
	if region, known := m.regions[zone]; known {
		return region
	}
	return Region(zone)
}

// Known reports whether a zone's region is known. All zones are if the map has none.
func (m Map) Known(zone Zone) bool {
	_, known := m.regions[zone]
	return known || len(m.regions) == 0
}

// RegionCount returns the number of regions; one if the map has no zones.
func (m Map) RegionCount() int { return max(1, m.count) }

// Zones returns the zones of some regions, sorted by name.
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

// Distance returns the distance between two zones.
func (m Map) Distance(from, to Zone) Distance {
	switch {
	case from == to:
		return SameZone
	case m.Region(from) == m.Region(to):
		return SameRegion
	}
	return OtherRegion
}
