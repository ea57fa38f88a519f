package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// InheritedHold is a hold that keys wait for because of grants by earlier leaders.
type InheritedHold struct {
	Worker workers.ID
	// Term is the last term whose leader may have granted it.
	Term Term
}

// LimitInheritedHolds records that all holds of a worker that leaders up to a term granted have ended by
// a time. Without this, keys of a worker that had crashed waited until the longest time for which any
// earlier leader could have renewed a hold, from each election anew.
func (l *Ledger) LimitInheritedHolds(hold InheritedHold, until time.Time) {
	for _, s := range l.spans {
		if s.owner == hold.Worker && hold.Term >= l.term-1 && s.inheritedUntil.After(until) {
			s.inheritedUntil = until
		}
		for index := range s.previous {
			old := &s.previous[index]
			if old.worker == hold.Worker && hold.Term >= l.inheritedTerm(*old) && old.inheritedUntil.After(until) {
				old.inheritedUntil = until
			}
		}
	}
}

// InheritedHolds returns the holds that keys wait for because of grants by earlier leaders.
func (l *Ledger) InheritedHolds(now time.Time) []InheritedHold {
	var list []InheritedHold
	for _, s := range l.spans {
		for _, old := range s.previous {
			hold := InheritedHold{Worker: old.worker, Term: l.inheritedTerm(old)}
			if !l.ended[old.worker] && !now.After(old.inheritedUntil) && !slices.Contains(list, hold) {
				list = append(list, hold)
			}
		}
	}
	return list
}

// inheritedTerm returns the last term before this leader's whose leader may have granted a previous
// owner the keys.
func (l *Ledger) inheritedTerm(old previousOwner) Term { return min(old.grantTerm, l.term-1) }
