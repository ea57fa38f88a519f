package owner

import "slices"

// PlacementRule restricts a key range to the workers of some zones.
type PlacementRule struct {
	Keys  KeyRange
	Zones []string
}

func (p PlacementRule) allows(zone string) bool { return slices.Contains(p.Zones, zone) }

// eligible returns the candidates that may hold the rule's keys. A rule without zones allows all of
// them.
func (p PlacementRule) eligible(candidates []Candidate) []Candidate {
	if len(p.Zones) == 0 {
		return candidates
	}
	var allowed []Candidate
	for _, candidate := range candidates {
		if p.allows(candidate.Zone) {
			allowed = append(allowed, candidate)
		}
	}
	return allowed
}

// overlaps reports whether two ranges share a key.
func (k KeyRange) overlaps(other KeyRange) bool { return k.From <= other.To && other.From <= k.To }

// withGaps returns the rules, with an unrestricted rule for each gap between them, so that all keys
// are covered in key order.
func withGaps(rules []PlacementRule) []PlacementRule {
	var all []PlacementRule
	from := 0
	for _, rule := range rules {
		if rule.Keys.From > from {
			all = append(all, PlacementRule{Keys: KeyRange{from, rule.Keys.From - 1}})
		}
		all = append(all, rule)
		from = rule.Keys.To + 1
	}
	if from < KeyCount {
		all = append(all, PlacementRule{Keys: KeyRange{from, KeyCount - 1}})
	}
	return all
}

// noZone is a zone name that no worker has.
const noZone = "-"

// RestrictToZones restricts all keys to some zones, in addition to the rules. If a rule allows none
// of these zones, no worker may hold its keys.
func RestrictToZones(rules []PlacementRule, zones []string) []PlacementRule {
	narrowed := withGaps(rules)
	for index, rule := range narrowed {
		allowed := slices.Clone(zones)
		if len(rule.Zones) > 0 {
			allowed = slices.DeleteFunc(allowed, func(zone string) bool { return !rule.allows(zone) })
		}
		if len(allowed) == 0 {
			allowed = []string{noZone}
		}
		narrowed[index].Zones = allowed
	}
	return narrowed
}

// splitAtPlacement splits spans where placement rules begin and end, and keeps them from being
// merged there.
func (l *Ledger) splitAtPlacement(rules []PlacementRule) {
	l.boundaries = map[int]bool{}
	if len(rules) == 0 {
		return
	}
	for _, rule := range withGaps(rules) {
		l.boundaries[rule.Keys.From] = true
		index := slices.IndexFunc(l.spans, func(s *span) bool { return s.keys.Contains(rule.Keys.From) })
		if whole := l.spans[index].keys; whole.From < rule.Keys.From {
			l.split(KeyRange{rule.Keys.From, whole.To})
		}
	}
}
