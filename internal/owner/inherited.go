package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// LimitInheritedHolds records that all holds of a worker that earlier leaders granted have ended by a
// time. Without this, keys of a worker that had crashed waited until the longest time for which any
// earlier leader could have renewed a hold, from each election anew.
func (l *Ledger) LimitInheritedHolds(worker workers.ID, until time.Time) {
	for _, s := range l.spans {
		if s.owner == worker && s.inheritedUntil.After(until) {
			s.inheritedUntil = until
		}
		for index := range s.previous {
			if old := &s.previous[index]; old.worker == worker && old.inheritedUntil.After(until) {
				old.inheritedUntil = until
			}
		}
	}
}

// InheritedHolders returns the workers that keys wait for because of grants by earlier leaders.
func (l *Ledger) InheritedHolders(now time.Time) []workers.ID {
	var list []workers.ID
	for _, s := range l.spans {
		for _, old := range s.previous {
			if !l.ended[old.worker] && !now.After(old.inheritedUntil) && !slices.Contains(list, old.worker) {
				list = append(list, old.worker)
			}
		}
	}
	return list
}
