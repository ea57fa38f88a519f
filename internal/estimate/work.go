// Package estimate estimates the state of workers from outside, such as how long they work on a
// request, whether or not they report their load.
//
// It is pure: callers pass the time.
package estimate

import (
	"math"
	"slices"
	"time"
)

// Parameters of Work.
const (
	// binLength is the length of the intervals by which answers are counted.
	binLength = 600 * time.Millisecond
	// keptBins is how many bins are kept.
	keptBins = 12
	// recentBins is how many of the newest bins are compared with all of them, to detect that a
	// worker has changed.
	recentBins = 3
	// minAnswers is how many answers a steady period must have to be used.
	minAnswers = 3
	// workVariation is the assumed standard deviation of work times, as a share of their mean.
	workVariation = 0.9
	// changeDeviations is by how many standard deviations the recent bins must differ from all bins
	// to show that a worker has changed.
	changeDeviations = 3.0
	// minChange is added to the threshold given by changeDeviations. Both apply to the difference
	// between the logarithms of the two means.
	minChange = 0.3
	// priorAnswers is the weight of the prior, in answers.
	priorAnswers = 6.0
	// bisections is the number of steps of the search for the work time: an error below one in a
	// million.
	bisections = 20
)

// Work estimates one worker's mean work time for a request, from the answers that all processes
// received: how many in an interval, and after how long. By Little's law these give the number of
// requests at the worker; a model of a queue with several servers gives how much of the time was
// spent waiting. Periods of a steady rate are evaluated separately, since an average over a change
// of load is misleading.
type Work struct {
	bins  [keptBins]bin
	start time.Time
}

// bin holds the answers of one interval.
type bin struct {
	number  int64
	answers int
	took    time.Duration
}

// workEstimate is a work time in seconds, its weight in answers, and the number of bins that it was
// estimated from.
type workEstimate struct {
	work, weight float64
	bins         int
}

// NewWork returns an estimate without answers.
func NewWork(now time.Time) *Work { return &Work{start: now} }

// Add records a number of answers and the sum of their times at the worker.
func (w *Work) Add(now time.Time, answers int, took time.Duration) {
	number := w.binNumber(now)
	into := &w.bins[number%keptBins]
	if into.number != number {
		*into = bin{number: number}
	}
	into.answers += answers
	into.took += took
}

func (w *Work) binNumber(now time.Time) int64 { return int64(max(0, now.Sub(w.start)) / binLength) }

// Mean returns the mean work time at a worker with the given number of slots. It is close to prior
// while there are few answers.
func (w *Work) Mean(now time.Time, slots int, prior time.Duration) time.Duration {
	newest := w.binNumber(now)
	overall := weightedMean(w.estimates(newest, keptBins, slots), workEstimate{work: prior.Seconds(), weight: priorAnswers})
	recent := w.estimates(newest, recentBins, slots)
	if len(recent) > 0 {
		recentMean := weightedMean(recent)
		noise := changeDeviations * workVariation / math.Sqrt(recentMean.weight)
		if math.Abs(math.Log(recentMean.work/overall.work)) > minChange+noise {
			return toDuration(recentMean.work)
		}
	}
	return toDuration(overall.work)
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// estimates returns an estimate for each steady period of the last complete bins that has enough
// answers.
func (w *Work) estimates(newest, count int64, slots int) []workEstimate {
	var list []workEstimate
	for _, period := range w.steadyPeriods(newest, count) {
		if period.answers < minAnswers {
			continue
		}
		answers := float64(period.answers)
		rate := answers / (float64(period.bins) * binLength.Seconds())
		list = append(list, workEstimate{work: workFromResponseTime(period.took.Seconds()/answers, rate, slots), weight: answers, bins: period.bins})
	}
	return list
}

// steadyPeriod is a run of consecutive bins with about the same rate.
type steadyPeriod struct {
	bins, answers int
	took          time.Duration
}

// A bin continues a steady period if its number of answers differs from the expected one by at most
// steadyDeviations standard deviations and minSteadyDifference answers.
const (
	steadyDeviations    = 3.0
	minSteadyDifference = 3.0
)

// steadyPeriods splits the last complete bins into steady periods.
func (w *Work) steadyPeriods(newest, count int64) []steadyPeriod {
	var list []steadyPeriod
	for number := max(0, newest-count); number < newest; number++ {
		current := w.bins[number%keptBins]
		if current.number != number {
			current = bin{}
		}
		last := len(list) - 1
		if last < 0 || !list[last].hasRateOf(current) {
			list = append(list, steadyPeriod{})
			last++
		}
		list[last].bins++
		list[last].answers += current.answers
		list[last].took += current.took
	}
	return list
}

// hasRateOf reports whether a bin has about the rate of the period.
func (s steadyPeriod) hasRateOf(b bin) bool {
	expected := float64(s.answers) / float64(s.bins)
	return math.Abs(float64(b.answers)-expected) <= minSteadyDifference+steadyDeviations*math.Sqrt(expected)
}

// weightedMean returns the weighted mean of some estimates, with their total weight. Estimates from
// a single bin are left out of list if there are longer ones: the load changed within them.
func weightedMean(list []workEstimate, more ...workEstimate) workEstimate {
	long := slices.DeleteFunc(slices.Clone(list), func(estimate workEstimate) bool { return estimate.bins < 2 })
	if len(long) > 0 {
		list = long
	}
	sum, total := 0.0, 0.0
	for _, estimate := range append(list, more...) {
		sum += estimate.weight * estimate.work
		total += estimate.weight
	}
	return workEstimate{work: sum / total, weight: total}
}

// workFromResponseTime returns the mean work time, in seconds, of a worker whose answers took some
// time on average at a rate: the work time that, together with the queueing time that it causes at
// that rate, gives the measured time.
func workFromResponseTime(took, rate float64, slots int) float64 {
	low, high := 0.0, min(took, float64(slots)/max(rate, 1e-9))
	for range bisections {
		middle := (low + high) / 2
		if middle+queueingTime(middle, rate, slots) > took {
			high = middle
		} else {
			low = middle
		}
	}
	return (low + high) / 2
}

// queueingTime approximates the mean queueing time at a worker with several slots (Sakasegawa 1977,
// for work times that vary about as an exponential distribution does).
func queueingTime(work, rate float64, slots int) float64 {
	count := float64(max(slots, 1))
	utilization := rate * work / count
	if utilization >= 1 {
		return math.Inf(1)
	}
	return work * math.Pow(utilization, math.Sqrt(2*(count+1))-1) / (count * (1 - utilization))
}
