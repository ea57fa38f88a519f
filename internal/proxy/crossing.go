package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
)

// crossing says what a request must gain to leave its zone, and its region. Gains are
// shares of requests that are answered in time.
type crossingPolicy struct {
	// zone is for another zone of the region, and region for another region.
	minZoneGain, minRegionGain float64
	// perKilobyte is what each kilobyte of request and answer must gain beyond that to cross
	// the link between regions.
	minGainPerKilobyte float64
	// defaultBulkLateShare is the share of answers that would be late in the own region from which
	// large bodies may cross.
	bulkLateShare float64
}

// Bounds of leaving a zone or region.
const (
	// defaultZoneGain is the share of requests that must be answered in time beyond what a
	// worker of the own zone can do for another zone's to be taken: bytes between zones
	// have their price.
	defaultZoneGain = 0.07
	// defaultRegionGain is that for another region: each request that crosses delays others there
	// whose callers are near.
	defaultRegionGain = 0.1
	// defaultKilobyteGain is that for each kilobyte: a link that hundreds of routers share carries
	// about thirty small requests in the time that one answer of 100 kB takes, and these must
	// then gain more than all callers can.
	defaultKilobyteGain = 0.03
	// defaultBulkLateShare: where fewer answers than one in five come in time, callers are better off
	// with a worker beyond the link.
	defaultBulkLateShare = 0.8
	// minBulkBytes is the size from which bodies count as large whatever their route says: eight
	// times what a request and its answer usually have.
	minBulkBytes = 32 << 10
)

// zoned knows zones only: the next region is as near as the next zone.
var singleRegionPolicy = crossingPolicy{minZoneGain: defaultZoneGain, minRegionGain: defaultZoneGain, bulkLateShare: 0}

// regional weighs the link between regions.
var multiRegionPolicy = crossingPolicy{minZoneGain: defaultZoneGain, minRegionGain: defaultRegionGain, minGainPerKilobyte: defaultKilobyteGain, bulkLateShare: defaultBulkLateShare}

// need is what a request asks of the worker that it is sent to.
type requirements struct {
	// target is the time within which an answer is worth most.
	target time.Duration
	// bytes is the expected size of the request and its answer, and bulk says that it is
	// large.
	bytes float64
	bulk  bool
	// stay says that the request must not leave its region.
	sameRegionOnly bool
	// spare says that a second copy looks for a worker: one that is short of room is none.
	forHedge bool
	// free says that only a worker will do at which the request need not wait.
	freeSlotOnly bool
	// serves reports whether a region may serve the request; nil: any may.
	regionAllowed func(topology.Region) bool
}

// bulky reports whether bodies of a class and expected size are large.
func isBulk(class routing.BodyClass, bytes float64) bool {
	return class != routing.Small || bytes >= minBulkBytes
}

// nearest are the best workers at each distance; those without a backend can't be sent to.
type bestByDistance [topology.OtherRegion + 1]choice

// choose returns the worker that a request goes to, none without a backend. late returns the
// share of answers that miss the target, given their mean time. spare is asked last, and for
// large bodies only: whether the link between regions has room for one more.
func (c crossingPolicy) choose(by bestByDistance, of requirements, late func(mean time.Duration) float64, spare func() bool) choice {
	best := by[topology.SameZone]
	if next := by[topology.SameRegion]; c.gainsEnough(best, next, late, c.minZoneGain) {
		best = next
	}
	across := by[topology.OtherRegion]
	switch {
	case across.backend == nil || of.sameRegionOnly:
		return best
	case of.bulk && c.bulkLateShare > 0:
		short := best.backend == nil || late(best.estimate) >= c.bulkLateShare && late(across.estimate) < late(best.estimate)
		if short && spare() {
			return across
		}
		return best
	case c.gainsEnough(best, across, late, c.minRegionGain+c.minGainPerKilobyte*of.bytes/1000):
		return across
	}
	return best
}

// gains reports whether a worker farther away answers so many more requests in time.
func (c crossingPolicy) gainsEnough(near, far choice, late func(time.Duration) float64, least float64) bool {
	if far.backend == nil || near.backend == nil {
		return far.backend != nil
	}
	return late(near.estimate)-late(far.estimate) > least
}
