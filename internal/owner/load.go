package owner

import (
	"math"
	"slices"
	"time"
)

// KeyLoad is how often one key is asked for, in requests a second.
type KeyLoad struct {
	Key  int
	Rate float64
}

// Times and bounds of measuring.
const (
	// blockWidth is how many neighbouring keys are watched together for a
	// sudden change.
	blockWidth = 64
	// slowWindow is the time constant of the slow average.
	slowWindow = 6 * time.Second
	// fastWindow is the time constant of the fast average.
	fastWindow = 1200 * time.Millisecond
	// surgeWindow is over how long a sudden change is looked for.
	surgeWindow = 500 * time.Millisecond
	// surgeDeviations is how many standard deviations make a sudden change.
	surgeDeviations = 3.0
	// surgeLeast is the least excess of requests that counts as one.
	surgeLeast = 3.0
	// slowShare is the slow average's part of the rate when nothing changes.
	slowShare = 0.6
	// settleTime is how long loads are measured before keys move by them: a new
	// leader knows nothing of what was asked for before.
	settleTime = 2500 * time.Millisecond
	// forgetRate is the rate below which a key is forgotten.
	forgetRate = 0.02
)

// Loads measures how often each key is asked for, from the counts that the
// routers report. It is not safe for concurrent use.
type Loads struct {
	keys   map[int]*keyRate
	recent []batch
	start  time.Time
}

type keyRate struct {
	fast, slow float64 // decayed counts
	at         time.Time
}

type batch struct {
	at     time.Time
	counts map[int]int
}

// NewLoads returns loads that know nothing.
func NewLoads(now time.Time) *Loads {
	return &Loads{keys: map[int]*keyRate{}, start: now}
}

// Settled reports whether the loads were measured for long enough to move keys by
// them.
func (l *Loads) Ready(now time.Time) bool { return now.Sub(l.start) >= settleTime }

// Add takes counts of requests for keys.
func (l *Loads) Add(now time.Time, counts map[int]int) {
	for key, count := range counts {
		rate := l.keys[key]
		if rate == nil {
			rate = &keyRate{at: now}
			l.keys[key] = rate
		}
		rate.decay(now)
		rate.fast += float64(count)
		rate.slow += float64(count)
	}
	l.recent = append(l.recent, batch{at: now, counts: counts})
	l.recent = slices.DeleteFunc(l.recent, func(old batch) bool { return now.Sub(old.at) > surgeWindow })
}

func (r *keyRate) decay(now time.Time) {
	passed := now.Sub(r.at).Seconds()
	if passed <= 0 {
		return
	}
	r.fast *= math.Exp(-passed / fastWindow.Seconds())
	r.slow *= math.Exp(-passed / slowWindow.Seconds())
	r.at = now
}

// Rates returns the keys asked for lately, in order.
func (l *Loads) Rates(now time.Time) []KeyLoad {
	slowSpan := l.span(now, slowWindow)
	fastSpan := l.span(now, fastWindow)
	surging, window := l.surges(now, slowSpan)
	rates := make([]KeyLoad, 0, len(l.keys))
	for key, rate := range l.keys {
		rate.decay(now)
		measured := slowShare*rate.slow/slowSpan + (1-slowShare)*rate.fast/fastSpan
		if surging[key/blockWidth] {
			measured = float64(window[key]) / surgeWindow.Seconds()
		}
		if rate.slow/slowSpan < forgetRate && measured < forgetRate {
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

// span is the length that a decayed count stands for, shorter at the start.
func (l *Loads) span(now time.Time, window time.Duration) float64 {
	running := max(now.Sub(l.start).Seconds(), 0.2)
	return window.Seconds() * (1 - math.Exp(-running/window.Seconds()))
}

// surges finds the blocks whose load has just changed, up or down, and returns
// the counts of the window that shows it.
func (l *Loads) surges(now time.Time, slowSpan float64) (map[int]bool, map[int]int) {
	window := map[int]int{}
	counted := map[int]float64{}
	for _, one := range l.recent {
		for key, count := range one.counts {
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
		if excess > surgeLeast+surgeDeviations*math.Sqrt(expected[block]) {
			surging[block] = true
		}
	}
	return surging, window
}
