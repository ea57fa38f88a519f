package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
)

// crossingPolicy defines by how much the share of requests that are answered in time must rise for
// a request to leave its zone or region.
type crossingPolicy struct {
	// minZoneGain applies to other zones of the region, and minRegionGain to other regions.
	minZoneGain, minRegionGain float64
	// minGainPerKilobyte is added to minRegionGain for each kilobyte of the request and its answer.
	minGainPerKilobyte float64
	// bulkLateShare is the share of late answers in the local region from which on large bodies may
	// cross to another region; zero treats them like small ones.
	bulkLateShare float64
}

// Parameters of leaving a zone or region.
const (
	// defaultZoneGain is the share of requests that must be answered in time beyond what the local
	// zone's best worker achieves to choose a worker of another zone, since traffic between zones
	// has a cost.
	defaultZoneGain = 0.07
	// defaultRegionGain is the same for another region: each request that crosses delays requests
	// of nearby callers there.
	defaultRegionGain = 0.1
	// defaultKilobyteGain is the additional gain for each kilobyte: in the time that a link shared
	// by hundreds of routers takes for one answer of 100 kB it could carry about thirty small
	// requests. An answer of that size would have to gain more than is possible.
	defaultKilobyteGain = 0.03
	// defaultBulkLateShare: if fewer than one in five answers would come in time, callers are
	// better served by a worker in another region.
	defaultBulkLateShare = 0.8
	// minBulkBytes is the size from which on bodies count as large regardless of their route's
	// class: eight times the usual size of a request and its answer.
	minBulkBytes = 32 << 10
)

// singleRegionPolicy only distinguishes zones: another region is treated like another zone.
var singleRegionPolicy = crossingPolicy{minZoneGain: defaultZoneGain, minRegionGain: defaultZoneGain, bulkLateShare: 0}

// multiRegionPolicy takes the capacity of the link between regions into account.
var multiRegionPolicy = crossingPolicy{minZoneGain: defaultZoneGain, minRegionGain: defaultRegionGain, minGainPerKilobyte: defaultKilobyteGain, bulkLateShare: defaultBulkLateShare}

// requirements are what a request requires of the worker that it is sent to.
type requirements struct {
	// target is the latency within which an answer is in time and of most value.
	target time.Duration
	// bytes is the expected size of the request and its answer; bulk reports that it is large.
	bytes float64
	bulk  bool
	// sameRegionOnly reports that the request must not leave its region.
	sameRegionOnly bool
	// forHedge reports that the worker is for a second copy, which must not go to a worker with a
	// rate limit.
	forHedge bool
	// freeSlotOnly reports that the request must not wait at the worker.
	freeSlotOnly bool
	// regionAllowed reports whether the request may be served in a region; nil means that any
	// region may serve it.
	regionAllowed func(topology.Region) bool
}

// isBulk reports whether bodies of a class and expected size count as large.
func isBulk(class routing.BodyClass, bytes float64) bool {
	return class != routing.Small || bytes >= minBulkBytes
}

// bestByDistance holds the best worker at each distance. A choice without a backend means that no
// worker at that distance may be sent to.
type bestByDistance [topology.OtherRegion + 1]choice

// choose returns the worker that a request goes to; the choice has no backend if there is none.
// lateShare returns the share of answers that miss the target, given their mean latency.
// linkHasCapacity reports whether the link between regions can carry one more large body. It is
// called last, and only for large bodies that would cross.
func (c crossingPolicy) choose(candidates bestByDistance, required requirements, lateShare func(mean time.Duration) float64, linkHasCapacity func() bool) choice {
	best := candidates[topology.SameZone]
	if sameRegion := candidates[topology.SameRegion]; c.gainsEnough(best, sameRegion, lateShare, c.minZoneGain) {
		best = sameRegion
	}
	otherRegion := candidates[topology.OtherRegion]
	switch {
	case otherRegion.backend == nil || required.sameRegionOnly:
		return best
	case required.bulk && c.bulkLateShare > 0:
		regionLate := best.backend == nil || lateShare(best.estimate) >= c.bulkLateShare && lateShare(otherRegion.estimate) < lateShare(best.estimate)
		if regionLate && linkHasCapacity() {
			return otherRegion
		}
		return best
	case c.gainsEnough(best, otherRegion, lateShare, c.minRegionGain+c.minGainPerKilobyte*required.bytes/1000):
		return otherRegion
	}
	return best
}

// gainsEnough reports whether the more distant worker answers enough more requests in time.
func (c crossingPolicy) gainsEnough(near, far choice, lateShare func(time.Duration) float64, minGain float64) bool {
	if far.backend == nil || near.backend == nil {
		return far.backend != nil
	}
	return lateShare(near.estimate)-lateShare(far.estimate) > minGain
}
