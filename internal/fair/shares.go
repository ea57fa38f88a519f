package fair

import (
	"maps"
	"slices"
	"time"
)

// refresh works out anew which share of each caller's requests is refused, unless that was done
// just now. The caller holds mu.
func (l *Ledger) refresh(now time.Time, scale float64) {
	if now.Sub(l.refreshed) < refreshEvery {
		return
	}
	l.refreshed = now
	wanted := l.wanted / scale
	served := max(0, l.wanted-l.lost) / scale
	l.average = 0
	if wanted > shortFactor*served+1 {
		l.average = 1 - (served+1)/wanted
	}
	classes := map[int][]*lane{}
	for caller, known := range l.lanes {
		known.refused = 0
		classes[caller.Priority] = append(classes[caller.Priority], known)
	}
	if l.average > 0 {
		l.share(classes, scale)
	}
}

// share gives what there is room for to the classes in order of their priority, after each lane
// has got the least that it must get. The caller holds mu.
func (l *Ledger) share(classes map[int][]*lane, scale float64) {
	served := 1 - l.average
	least := leastServed * served
	named := 0.0
	for _, class := range classes {
		named += total(class)
	}
	left := served * named
	for _, class := range classes {
		left -= least * total(class)
	}
	for _, priority := range slices.Sorted(maps.Keys(classes)) {
		class := classes[priority]
		room := left + least*total(class)
		left = max(0, room-total(class))
		fill(class, room, least, scale)
	}
}

// fill shares room among lanes: each gets what it asks for, or as much as its weight times the
// level that all of them have in common, and never less than a share of what it asks for. One
// request is no flood: a lane that has asked for no more is served.
func fill(class []*lane, room, least, scale float64) {
	if total(class) <= room {
		return
	}
	grant := func(one *lane, level float64) float64 {
		return min(one.wanted, max(one.weight*level, least*one.wanted, min(scale, one.wanted)))
	}
	low, high := 0.0, 0.0
	for _, one := range class {
		high = max(high, one.wanted/one.weight)
	}
	for range levelSteps {
		level, sum := (low+high)/2, 0.0
		for _, one := range class {
			sum += grant(one, level)
		}
		if sum > room {
			high = level
		} else {
			low = level
		}
	}
	for _, one := range class {
		one.refused = 1 - grant(one, low)/one.wanted
	}
}

// total is what lanes ask for together.
func total(class []*lane) float64 {
	sum := 0.0
	for _, one := range class {
		sum += one.wanted
	}
	return sum
}
