package ledger

import (
	"cmp"
	"slices"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Tenure says that a gateway vouches for a range under a fence: it was up for
// the whole time of the owner with that fence, or that owner has told it that
// every record has a second copy elsewhere or here. It also promises to take no
// copies under an older fence.
type Tenure struct {
	Range keyspace.Range `json:"range"`
	Fence wire.Fence     `json:"fence"`
}

// Tenures are what one gateway vouches for. The ranges never overlap and are
// ordered. The zero value vouches for nothing.
type Tenures struct {
	list []Tenure
}

// Overlapping returns the tenures that share a hash with the range.
func (t *Tenures) Overlapping(within keyspace.Range) []Tenure {
	var found []Tenure
	for _, tenure := range t.list {
		if tenure.Range.Overlaps(within) {
			found = append(found, tenure)
		}
	}
	return found
}

// Highest returns the highest fence promised for any hash of the range; zero
// if none is.
func (t *Tenures) Highest(within keyspace.Range) wire.Fence {
	highest := wire.Fence(0)
	for _, tenure := range t.Overlapping(within) {
		highest = max(highest, tenure.Fence)
	}
	return highest
}

// Raise vouches for the range under the fence. It returns false, and changes
// nothing, if a higher fence is promised for any of its hashes.
func (t *Tenures) Raise(within keyspace.Range, fence wire.Fence) bool {
	if t.Highest(within) > fence {
		return false
	}
	next := []Tenure{{Range: within, Fence: fence}}
	for _, tenure := range t.list {
		next = append(next, outside(tenure, within)...)
	}
	slices.SortFunc(next, func(a, b Tenure) int {
		return cmp.Compare(a.Range.First, b.Range.First)
	})
	t.list = next
	return true
}

// outside returns the parts of a tenure that lie outside the range.
func outside(tenure Tenure, within keyspace.Range) []Tenure {
	if !tenure.Range.Overlaps(within) {
		return []Tenure{tenure}
	}
	var parts []Tenure
	if tenure.Range.First < within.First {
		before := keyspace.Range{First: tenure.Range.First, Last: within.First - 1}
		parts = append(parts, Tenure{Range: before, Fence: tenure.Fence})
	}
	if tenure.Range.Last > within.Last {
		after := keyspace.Range{First: within.Last + 1, Last: tenure.Range.Last}
		parts = append(parts, Tenure{Range: after, Fence: tenure.Fence})
	}
	return parts
}
