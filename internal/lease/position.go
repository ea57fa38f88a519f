package lease

import (
	"cmp"

	"github.com/shalefork/shalefork/internal/wire"
)

// position orders renewals: by generation, then term, then set.
type position struct {
	generation wire.Generation
	term       uint64
	set        uint64
}

func positionOf(request wire.RenewRequest) position {
	return position{generation: request.Generation, term: request.Term, set: request.Set}
}

// compare returns a negative number if p is older than other.
func (p position) compare(other position) int {
	return cmp.Or(
		cmp.Compare(p.generation, other.generation),
		cmp.Compare(p.term, other.term),
		cmp.Compare(p.set, other.set),
	)
}

// leader returns the position without its set: the identity of a leader.
func (p position) leader() position {
	return position{generation: p.generation, term: p.term}
}
