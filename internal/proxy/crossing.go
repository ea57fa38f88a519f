package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
)

// crossing says what a request must gain to leave its zone, and its region. Gains are
// shares of requests that are answered in time.
type crossing struct {
	// zone is for another zone of the region, and region for another region.
	zone, region float64
	// perKilobyte is what each kilobyte of request and answer must gain beyond that to cross
	// the link between regions.
	perKilobyte float64
	// bulkLate is the share of answers that would be late in the own region from which
	// large bodies may cross.
	bulkLate float64
}

// Bounds of leaving a zone or region.
const (
	// remoteGain is the share of requests that must be answered in time beyond what a
	// worker of the own zone can do for another zone's to be taken: bytes between zones
	// have their price.
	remoteGain = 0.07
	// regionGain is that for another region: each request that crosses delays others there
	// whose callers are near.
	regionGain = 0.1
	// kilobyteGain is that for each kilobyte: a link that hundreds of routers share carries
	// about thirty small requests in the time that one answer of 100 kB takes, and these must
	// then gain more than all callers can.
	kilobyteGain = 0.03
	// bulkLate: where fewer answers than one in five come in time, callers are better off
	// with a worker beyond the link.
	bulkLate = 0.8
	// bulkBytes is the size from which bodies count as large whatever their route says: eight
	// times what a request and its answer usually have.
	bulkBytes = 32 << 10
)

// zoned knows zones only: the next region is as near as the next zone.
var zoned = crossing{zone: remoteGain, region: remoteGain, bulkLate: 0}

// regional weighs the link between regions.
var regional = crossing{zone: remoteGain, region: regionGain, perKilobyte: kilobyteGain, bulkLate: bulkLate}

// need is what a request asks of the worker that it is sent to.
type need struct {
	// target is the time within which an answer is worth most.
	target time.Duration
	// bytes is the expected size of the request and its answer, and bulk says that it is
	// large.
	bytes float64
	bulk  bool
	// stay says that the request must not leave its region.
	stay bool
	// spare says that a second copy looks for a worker: one that is short of room is none.
	spare bool
	// free says that only a worker will do at which the request need not wait.
	free bool
	// serves reports whether a region may serve the request; nil: any may.
	serves func(topology.Region) bool
}

// bulky reports whether bodies of a class and expected size are large.
func bulky(class routing.BodyClass, bytes float64) bool {
	return class != routing.Small || bytes >= bulkBytes
}

// nearest are the best workers at each distance; those without a backend can't be sent to.
type nearest [topology.OtherRegion + 1]choice

// choose returns the worker that a request goes to, none without a backend. late returns the
// share of answers that miss the target, given their mean time. spare is asked last, and for
// large bodies only: whether the link between regions has room for one more.
func (c crossing) choose(by nearest, of need, late func(mean time.Duration) float64, spare func() bool) choice {
	best := by[topology.SameZone]
	if next := by[topology.SameRegion]; c.gains(best, next, late, c.zone) {
		best = next
	}
	across := by[topology.OtherRegion]
	switch {
	case across.backend == nil || of.stay:
		return best
	case of.bulk && c.bulkLate > 0:
		short := best.backend == nil || late(best.estimate) >= c.bulkLate && late(across.estimate) < late(best.estimate)
		if short && spare() {
			return across
		}
		return best
	case c.gains(best, across, late, c.region+c.perKilobyte*of.bytes/1000):
		return across
	}
	return best
}

// gains reports whether a worker farther away answers so many more requests in time.
func (c crossing) gains(near, far choice, late func(time.Duration) float64, least float64) bool {
	if far.backend == nil || near.backend == nil {
		return far.backend != nil
	}
	return late(near.estimate)-late(far.estimate) > least
}
