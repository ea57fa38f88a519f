package ledger

import (
	"cmp"
	"slices"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Tenure is the time of one owner of a range, named by its fence.
type Tenure struct {
	Range keyspace.Range `json:"range"`
	Fence wire.Fence     `json:"fence"`
	// Gateways are those that may hold records: in a promise all that the
	// takeover counts; in what is vouched for, those that the owner's table
	// named when every record had a second copy at one of them. They count in
	// later takeovers, even when they have left the table meanwhile.
	Gateways []wire.TableServer `json:"gateways,omitempty"`
	// Round counts the owner's lists of gateways, so that a message that comes
	// late does not put an older one back.
	Round uint64 `json:"round,omitempty"`
}

// newer reports whether t replaces other.
func (t Tenure) newer(other Tenure) bool {
	if t.Fence != other.Fence {
		return t.Fence > other.Fence
	}
	return t.Round > other.Round
}

// Testimony is what a gateway that is asked for its records says of itself.
type Testimony struct {
	// Vouched tenures: the owner knew every record then, each had its second
	// copy at a gateway that was up, and so was this one. It holds all that it
	// was given since, because a gateway that is started anew vouches for
	// nothing. So whatever it vouches for, its last restart lost no record.
	Vouched []Tenure `json:"vouched,omitempty"`
	// Promised tenures are those that this gateway has heard of; it takes no
	// copies under older fences.
	Promised []Tenure `json:"promised,omitempty"`
}

// Awaited lists the gateways that takeovers of the range counted which this
// gateway does not know to have been complete, ordered by name.
func (s Testimony) Awaited(within keyspace.Range) []wire.TableServer {
	var list []wire.TableServer
	parts := borders(within, slices.Concat(s.Vouched, s.Promised))
	for _, promised := range s.Promised {
		unfinished := func(hash keyspace.Hash) bool {
			return promised.Range.Contains(hash) && tenureAt(s.Vouched, hash).Fence < promised.Fence
		}
		if slices.ContainsFunc(parts, unfinished) {
			list = append(list, promised.Gateways...)
		}
	}
	return MergeGateways(list, nil)
}

// Tenures are one tenure for each part of the partition. The ranges never
// overlap and are ordered. The zero value is empty.
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

// Highest returns the highest fence of any hash of the range; zero for none.
func (t *Tenures) Highest(within keyspace.Range) wire.Fence {
	highest := wire.Fence(0)
	for _, tenure := range t.Overlapping(within) {
		highest = max(highest, tenure.Fence)
	}
	return highest
}

// Raise puts the tenure in place of older ones. It returns false, and changes
// nothing, if there is a later one for any of its hashes.
func (t *Tenures) Raise(raised Tenure) bool {
	for _, tenure := range t.Overlapping(raised.Range) {
		if tenure.newer(raised) {
			return false
		}
	}
	next := []Tenure{raised}
	for _, tenure := range t.list {
		next = append(next, outside(tenure, raised.Range)...)
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
		parts = append(parts, tenure.within(before))
	}
	if tenure.Range.Last > within.Last {
		after := keyspace.Range{First: within.Last + 1, Last: tenure.Range.Last}
		parts = append(parts, tenure.within(after))
	}
	return parts
}

func (t Tenure) within(part keyspace.Range) Tenure {
	t.Range = part
	return t
}
