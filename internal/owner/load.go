package owner

import (
	"math"
	"slices"
	"time"
)

// KeyLoad is the request rate of one key, in requests per second.
type KeyLoad struct {
	Key  int
	Rate float64
}

// Parameters of load measurement.
const (
	// blockWidth is the number of adjacent keys that are checked together for a sudden change.
	blockWidth = 64
	// slowWindow is the time constant of the slow moving average.
	slowWindow = 6 * time.Second
	// fastWindow is the time constant of the fast moving average.
	fastWindow = 1200 * time.Millisecond
	// surgeWindow is the time over which a sudden change is detected.
	surgeWindow = 500 * time.Millisecond
	// surgeDeviations and minSurgeExcess define a sudden change: a count that differs from the
	// expected one by more than minSurgeExcess plus surgeDeviations standard deviations.
	surgeDeviations = 3.0
	minSurgeExcess  = 3.0
	// slowWeight is the weight of the slow average in the rate when there is no sudden change.
	slowWeight = 0.6
	// warmupTime is how long loads are measured before keys are moved for balance: a new leader
	// knows nothing about earlier requests.
	warmupTime = 2500 * time.Millisecond
	// minTrackedRate is the rate below which a key is dropped.
	minTrackedRate = 0.02
)

// Loads measures the request rate of each key from the counts that routers report. It is not safe
// for concurrent use.
type Loads struct {
	keys   map[int]*keyRate
	recent []report
	start  time.Time
}

type keyRate struct {
	fast, slow float64 // exponentially decayed counts
	updatedAt  time.Time
}

type report struct {
	at     time.Time
	counts map[int]int
}

// NewLoads returns Loads without any counts.
func NewLoads(now time.Time) *Loads {
	return &Loads{keys: map[int]*keyRate{}, start: now}
}

// Ready reports whether the loads have been measured for long enough to move keys for balance.
func (l *Loads) Ready(now time.Time) bool { return now.Sub(l.start) >= warmupTime }

// Add adds request counts by key.
func (l *Loads) Add(now time.Time, counts map[int]int) {
	for key, count := range counts {
		rate := l.keys[key]
		if rate == nil {
			rate = &keyRate{updatedAt: now}
			l.keys[key] = rate
		}
		rate.decay(now)
		rate.fast += float64(count)
		rate.slow += float64(count)
	}
	l.recent = append(l.recent, report{at: now, counts: counts})
	l.recent = slices.DeleteFunc(l.recent, func(old report) bool { return now.Sub(old.at) > surgeWindow })
}

func (r *keyRate) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.fast *= math.Exp(-elapsed / fastWindow.Seconds())
	r.slow *= math.Exp(-elapsed / slowWindow.Seconds())
	r.updatedAt = now
}

// Rates returns the keys with recent requests, in key order.
func (l *Loads) Rates(now time.Time) []KeyLoad {
	slowSpan := l.effectiveWindow(now, slowWindow)
	fastSpan := l.effectiveWindow(now, fastWindow)
	surging, window := l.surges(now, slowSpan)
	rates := make([]KeyLoad, 0, len(l.keys))
	for key, rate := range l.keys {
		rate.decay(now)
		measured := slowWeight*rate.slow/slowSpan + (1-slowWeight)*rate.fast/fastSpan
		if surging[key/blockWidth] {
			measured = float64(window[key]) / surgeWindow.Seconds()
		}
		if rate.slow/slowSpan < minTrackedRate && measured < minTrackedRate {
			delete(l.keys, key)
			continue
		}
		if measured > 0 {
			rates = append(rates, KeyLoad{Key: key, Rate: measured})
		}
	}
	slices.SortFunc(rates, func(a, b KeyLoad) int { return a.Key - b.Key })
	return rates
}

// effectiveWindow is the time in seconds that a decayed count represents. It is shorter than the
// time constant while measuring has just begun.
func (l *Loads) effectiveWindow(now time.Time, window time.Duration) float64 {
	running := max(now.Sub(l.start).Seconds(), 0.2)
	return window.Seconds() * (1 - math.Exp(-running/window.Seconds()))
}

// surges returns the blocks whose load has just risen or fallen suddenly, and the counts within
// surgeWindow.
func (l *Loads) surges(now time.Time, slowSpan float64) (map[int]bool, map[int]int) {
	window := map[int]int{}
	counted := map[int]float64{}
	for _, batch := range l.recent {
		for key, count := range batch.counts {
			window[key] += count
			counted[key/blockWidth] += float64(count)
		}
	}
	expected := map[int]float64{}
	for key, rate := range l.keys {
		rate.decay(now)
		expected[key/blockWidth] += rate.slow / slowSpan * surgeWindow.Seconds()
	}
	surging := map[int]bool{}
	for block := range expected {
		excess := math.Abs(counted[block] - expected[block])
		if excess > minSurgeExcess+surgeDeviations*math.Sqrt(expected[block]) {
			surging[block] = true
		}
	}
	return surging, window
}
