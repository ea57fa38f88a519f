package cellstate

import (
	"slices"

	"github.com/shalefork/shalefork/internal/keyspace"
)

func (s *State) split(split Split) Rejection {
	place, found := s.find(split.Slice)
	if !found {
		return RejectedUnknownSlice
	}
	whole := s.Assignments[place]
	if whole.Owned() {
		return RejectedOwned
	}
	if whole.Shared || !validCuts(whole.Slice.Range, split.At) {
		return RejectedMalformed
	}
	s.Assignments = slices.Replace(slices.Clone(s.Assignments), place, place+1, pieces(whole, split.At)...)
	return Applied
}

// validCuts reports whether the hashes rise and each begins a range that leaves
// something before it.
func validCuts(whole keyspace.Range, at []keyspace.Hash) bool {
	previous := whole.First
	for _, cut := range at {
		if cut <= previous || cut > whole.Last {
			return false
		}
		previous = cut
	}
	return len(at) > 0
}

func pieces(whole Assignment, at []keyspace.Hash) []Assignment {
	parts := make([]Assignment, 0, len(at)+1)
	rest := whole
	for _, cut := range at {
		part := rest
		part.Slice.Range.Last = cut - 1
		rest.Slice.Range.First = cut
		parts = append(parts, part)
	}
	return append(parts, rest)
}

// merge joins the run of unowned slices from First to Last.
func (s *State) merge(merge Merge) Rejection {
	first, firstFound := s.find(merge.First)
	last, lastFound := s.find(merge.Last)
	if !firstFound || !lastFound {
		return RejectedUnknownSlice
	}
	if !merge.First.SamePartition(merge.Last) || first >= last {
		return RejectedMalformed
	}
	joined := s.Assignments[first]
	for _, part := range s.Assignments[first : last+1] {
		if part.Owned() {
			return RejectedOwned
		}
		joined.Fence = max(joined.Fence, part.Fence)
		joined.Divided = joined.Divided || part.Divided
	}
	joined.Slice.Range.Last = merge.Last.Range.Last
	joined.Refusal = ""
	s.Assignments = slices.Replace(slices.Clone(s.Assignments), first, last+1, joined)
	return Applied
}
