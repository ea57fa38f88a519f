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
	// blockWidth is how many neighbouring keys are watched together for a change.
	blockWidth = 64
	// binLength is the time that is counted together.
	binLength = 200 * time.Millisecond
	// keptBins is how many of them are kept: nothing older counts.
	keptBins = 40
	// leastBins is the shortest time over which a rate is measured.
	leastBins = 3
	// changeDeviations is how many standard deviations of chance the last counts must
	// be away from those before to stand for a change.
	changeDeviations = 3.0
	// changeLeast is the least difference of requests that counts as one.
	changeLeast = 3.0
	// settleTime is how long loads are measured before keys move by them: a new
	// leader knows nothing of what was asked for before.
	settleTime = 2500 * time.Millisecond
)

// windows are the times over which rates are measured, in bins.
var windows = []int{leastBins, 5, 8, 12, 20, 30, keptBins}

// Loads measures how often each key is asked for, from the counts that the routers
// report: over the longest time in which its neighbourhood has not changed, so that a
// change is followed at once and a steady load is known well. It is not safe for
// concurrent use.
type Loads struct {
	bins  [keptBins]bin
	start time.Time
}

// bin are the counts of one time.
type bin struct {
	number int64
	counts map[int]int
}

// NewLoads returns loads that know nothing.
func NewLoads(now time.Time) *Loads { return &Loads{start: now} }

// Settled reports whether the loads were measured for long enough to move keys by
// them.
func (l *Loads) Settled(now time.Time) bool { return now.Sub(l.start) >= settleTime }

// number returns the bin of a time, counted from the start.
func (l *Loads) number(now time.Time) int64 { return int64(max(0, now.Sub(l.start)) / binLength) }

// Add takes counts of requests for keys.
func (l *Loads) Add(now time.Time, counts map[int]int) {
	number := l.number(now)
	into := &l.bins[number%keptBins]
	if into.number != number || into.counts == nil {
		*into = bin{number: number, counts: map[int]int{}}
	}
	for key, count := range counts {
		into.counts[key] += count
	}
}

// Rates returns the keys asked for lately, in order.
func (l *Loads) Rates(now time.Time) []KeyLoad {
	newest := l.number(now)
	chosen := l.chooseWindows(newest)
	counted := map[int]int{}
	l.each(newest, func(age, key, count int) {
		if age < chosen[key/blockWidth] {
			counted[key] += count
		}
	})
	rates := make([]KeyLoad, 0, len(counted))
	for key, count := range counted {
		rate := float64(count) / l.length(now, newest, chosen[key/blockWidth])
		rates = append(rates, KeyLoad{Key: key, Rate: rate})
	}
	slices.SortFunc(rates, func(a, b KeyLoad) int { return a.Key - b.Key })
	return rates
}

// each calls do with each count that is kept, and its age in bins.
func (l *Loads) each(newest int64, do func(age, key, count int)) {
	for index := range l.bins {
		one := &l.bins[index]
		age := newest - one.number
		if one.counts == nil || age >= keptBins {
			continue
		}
		for key, count := range one.counts {
			do(int(age), key, count)
		}
	}
}

// length is the time that a number of bins stands for, in seconds: the newest is not
// whole yet, and there was nothing before the start.
func (l *Loads) length(now time.Time, newest int64, bins int) float64 {
	begin := l.start.Add(time.Duration(max(0, newest-int64(bins)+1)) * binLength)
	return max(now.Sub(begin), binLength/2).Seconds()
}

// chooseWindows finds for each block the longest time in which its load did not change.
func (l *Loads) chooseWindows(newest int64) map[int]int {
	blocks := map[int]*[keptBins]int{}
	l.each(newest, func(age, key, count int) {
		block := blocks[key/blockWidth]
		if block == nil {
			block = &[keptBins]int{}
			blocks[key/blockWidth] = block
		}
		block[age] += count
	})
	kept := int(min(newest+1, keptBins))
	chosen := make(map[int]int, len(blocks))
	for number, counts := range blocks {
		chosen[number] = steadyWindow(counts, kept)
	}
	return chosen
}

// steadyWindow returns the longest window of which no shorter one differs by more than
// chance. The newest counts come first.
func steadyWindow(counts *[keptBins]int, kept int) int {
	var sums [keptBins + 1]int
	for age, count := range counts {
		sums[age+1] = sums[age] + count
	}
	longest := min(windows[0], kept)
	for _, window := range windows[1:] {
		if window > kept || changed(&sums, window) {
			break
		}
		longest = window
	}
	return longest
}

// changed reports whether the last counts of a window differ from its mean.
func changed(sums *[keptBins + 1]int, window int) bool {
	for _, shorter := range windows {
		if shorter >= window {
			return false
		}
		expected := float64(sums[window]) * float64(shorter) / float64(window)
		if math.Abs(float64(sums[shorter])-expected) > changeLeast+changeDeviations*math.Sqrt(expected) {
			return true
		}
	}
	return false
}
