package owner

import "slices"

// Place says which zones may hold a run of keys. They never leave them.
type PlacementRule struct {
	Keys  KeyRange
	Zones []string
}

func (p PlacementRule) allows(zone string) bool { return slices.Contains(p.Zones, zone) }

// only returns the candidates that may hold the place's keys; all, if no zone is
// named.
func (p PlacementRule) only(candidates []Candidate) []Candidate {
	if len(p.Zones) == 0 {
		return candidates
	}
	var allowed []Candidate
	for _, one := range candidates {
		if p.allows(one.Zone) {
			allowed = append(allowed, one)
		}
	}
	return allowed
}

// overlaps reports whether two runs share a key.
func (k KeyRange) overlaps(other KeyRange) bool { return k.From <= other.To && other.From <= k.To }

// blocks returns the places, and the keys between them as places without zones:
// all keys, in order.
func blocks(places []PlacementRule) []PlacementRule {
	var all []PlacementRule
	from := 0
	for _, place := range places {
		if place.Keys.From > from {
			all = append(all, PlacementRule{Keys: KeyRange{from, place.Keys.From - 1}})
		}
		all = append(all, place)
		from = place.Keys.To + 1
	}
	if from < KeyCount {
		all = append(all, PlacementRule{Keys: KeyRange{from, KeyCount - 1}})
	}
	return all
}

// nowhere is a zone that no worker stands in.
const nowhere = "-"

// Within restricts places, and the keys outside of all of them, to some zones. Where a place
// has none of these zones nobody may hold its keys.
func RestrictToZones(places []PlacementRule, zones []string) []PlacementRule {
	narrowed := blocks(places)
	for index, place := range narrowed {
		allowed := slices.Clone(zones)
		if len(place.Zones) > 0 {
			allowed = slices.DeleteFunc(allowed, func(zone string) bool { return !place.allows(zone) })
		}
		if len(allowed) == 0 {
			allowed = []string{nowhere}
		}
		narrowed[index].Zones = allowed
	}
	return narrowed
}

// bound cuts spans where places begin, and keeps them from being joined there.
func (b *Ledger) bound(places []PlacementRule) {
	b.bounds = map[int]bool{}
	if len(places) == 0 {
		return
	}
	for _, block := range blocks(places) {
		b.bounds[block.Keys.From] = true
		index := slices.IndexFunc(b.spans, func(s *span) bool { return s.keys.Contains(block.Keys.From) })
		if whole := b.spans[index].keys; whole.From < block.Keys.From {
			b.cut(KeyRange{block.Keys.From, whole.To})
		}
	}
}
