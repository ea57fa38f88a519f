package fair

import (
	"maps"
	"slices"
	"time"
)

// refresh works out anew which share of each caller's requests is refused, unless that was done
// just now. The caller holds mu.
func (l *Ledger) refresh(now time.Time, scale float64) {
	if now.Sub(l.refreshedAt) < refreshInterval {
		return
	}
	l.refreshedAt = now
	requests := l.requests / scale
	served := max(0, l.requests-l.unserved) / scale
	l.overallRefused = 0
	if requests > shortageFactor*served+1 {
		l.overallRefused = 1 - (served+1)/requests
	}
	classes := map[int][]*callerStats{}
	for caller, stats := range l.callers {
		stats.refusedShare = 0
		classes[caller.Priority] = append(classes[caller.Priority], stats)
	}
	if l.overallRefused > 0 {
		l.distribute(classes, scale)
	}
}

// share gives what there is room for to the classes in order of their priority, after each lane
// has got the least that it must get. The caller holds mu.
func (l *Ledger) distribute(classes map[int][]*callerStats, scale float64) {
	served := 1 - l.overallRefused
	minServed := minServedRatio * served
	requested := 0.0
	for _, class := range classes {
		requested += totalRequests(class)
	}
	remaining := served * requested
	for _, class := range classes {
		remaining -= minServed * totalRequests(class)
	}
	for _, priority := range slices.Sorted(maps.Keys(classes)) {
		class := classes[priority]
		room := remaining + minServed*totalRequests(class)
		remaining = max(0, room-totalRequests(class))
		waterFill(class, room, minServed, scale)
	}
}

// fill shares room among lanes: each gets what it asks for, or as much as its weight times the
// level that all of them have in common, and never less than a share of what it asks for. One
// request is no flood: a lane that has asked for no more is served.
func waterFill(class []*callerStats, capacity, minServed, scale float64) {
	if totalRequests(class) <= capacity {
		return
	}
	grant := func(stats *callerStats, level float64) float64 {
		return min(stats.requests, max(stats.weight*level, minServed*stats.requests, min(scale, stats.requests)))
	}
	low, high := 0.0, 0.0
	for _, stats := range class {
		high = max(high, stats.requests/stats.weight)
	}
	for range levelSteps {
		level, sum := (low+high)/2, 0.0
		for _, stats := range class {
			sum += grant(stats, level)
		}
		if sum > capacity {
			high = level
		} else {
			low = level
		}
	}
	for _, stats := range class {
		stats.refusedShare = 1 - grant(stats, low)/stats.requests
	}
}

// total is what lanes ask for together.
func totalRequests(class []*callerStats) float64 {
	sum := 0.0
	for _, stats := range class {
		sum += stats.requests
	}
	return sum
}
