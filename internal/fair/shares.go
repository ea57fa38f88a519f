package fair

import (
	"maps"
	"slices"
	"time"
)

// refresh recomputes the share of each caller's requests to refuse, at most once per
// refreshInterval. l.mu must be held.
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

// distribute allocates the capacity to the priority classes, highest priority first, after each
// caller's minimum is set aside. l.mu must be held.
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
		capacity := remaining + minServed*totalRequests(class)
		remaining = max(0, capacity-totalRequests(class))
		waterFill(class, capacity, minServed, scale)
	}
}

// waterFill distributes capacity among the callers of a class by weighted max-min fairness: each
// gets its demand or its weight times a common level, whichever is less, but at least minServed of
// its demand and at least one request, since a single request is no flood.
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

// totalRequests returns the sum of the request counts of a class.
func totalRequests(class []*callerStats) float64 {
	sum := 0.0
	for _, stats := range class {
		sum += stats.requests
	}
	return sum
}
