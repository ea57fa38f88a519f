package owner

import (
	"slices"
	"time"
)

// HoldEnd is the time by which all holds have ended that leaders before a term granted.
type HoldEnd struct {
	Term Term
	At   time.Time
}

// HoldEnds are the hold ends that a process knows, by term. An entry is only kept if no later term has
// an earlier end: then it says nothing new. The zero value knows none.
//
// Leaders may follow each other faster than holds end. Each knows only a late end of the holds before
// its own term, but the keys of a worker that was moved under an earlier leader need not wait for that.
type HoldEnds []HoldEnd

// maxHoldEnds bounds the entries. The earliest terms are dropped first: few elections fit into the time
// for which holds may last.
const maxHoldEnds = 16

// Add records that all holds which leaders before a term granted have ended by a time.
func (e *HoldEnds) Add(term Term, at time.Time) {
	if known, found := e.Before(term); found && !at.Before(known) {
		return
	}
	list := slices.DeleteFunc(slices.Clone(*e), func(known HoldEnd) bool { return known.Term <= term && !known.At.Before(at) })
	position, _ := slices.BinarySearchFunc(list, term, func(known HoldEnd, term Term) int { return int(known.Term - term) })
	list = slices.Insert(list, position, HoldEnd{Term: term, At: at})
	*e = list[max(0, len(list)-maxHoldEnds):]
}

// Before returns the earliest known time by which all holds have ended that leaders before a term
// granted.
func (e HoldEnds) Before(term Term) (at time.Time, found bool) {
	for _, known := range e {
		if known.Term >= term {
			return known.At, true
		}
	}
	return time.Time{}, false
}
