// Package estimate measures workers from outside: how long they work on a request,
// whether or not they tell their load.
//
// It is pure: it is told the time.
package estimate

import (
	"math"
	"slices"
	"time"
)

// Times and bounds of measuring work.
const (
	// binLength is the time whose answers are judged together.
	binLength = 600 * time.Millisecond
	// keptBins is how many of them are kept.
	keptBins = 12
	// recentBins is how many of the newest show a worker that has changed.
	recentBins = 3
	// minAnswers is how many answers of a bin tell anything.
	minAnswers = 3
	// variation is the usual standard deviation of work, as a share of its mean.
	workVariation = 0.9
	// changeDeviations is how many standard deviations the recent bins must be away
	// from all to stand for a worker that has changed.
	changeDeviations = 3.0
	// minChange is a difference, as a share, that is none.
	minChange = 0.3
	// priorAnswers is how many answers what is usual counts for.
	priorAnswers = 6.0
	// bisections of the search for the time of work: an error below one in a million.
	bisections = 20
)

// Work estimates one worker's mean time of work on a request from the answers that all
// processes got: how many in a time, and after how long. By Little's law they tell how
// many requests were there at once; a queue with several servers tells how much of the
// time was spent waiting. Times of a steady rate are judged one by one, since a load that
// changes meanwhile misleads.
type Work struct {
	bins  [keptBins]bin
	start time.Time
}

// bin are the answers of one time.
type bin struct {
	number  int64
	answers int
	took    time.Duration
}

// judged is the time of work that a stretch of bins tells, in seconds, and its weight.
type workEstimate struct {
	work, weight float64
	bins         int
}

// NewWork returns an estimate that knows nothing.
func NewWork(now time.Time) *Work { return &Work{start: now} }

// Add takes a number of answers and the sum of their times at the worker.
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

// Mean returns the mean time of work at a worker with a number of slots. What is usual
// stands for a worker that has hardly answered.
func (w *Work) Mean(now time.Time, slots int, prior time.Duration) time.Duration {
	newest := w.binNumber(now)
	overall := weightedMean(w.estimates(newest, keptBins, slots), workEstimate{work: prior.Seconds(), weight: priorAnswers})
	recent := w.estimates(newest, recentBins, slots)
	if len(recent) > 0 {
		recentMean := weightedMean(recent)
		chance := changeDeviations * workVariation / math.Sqrt(recentMean.weight)
		if math.Abs(math.Log(recentMean.work/overall.work)) > minChange+chance {
			return toDuration(recentMean.work)
		}
	}
	return toDuration(overall.work)
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// judge returns what the last whole bins tell: steady times one by one.
func (w *Work) estimates(newest, count int64, slots int) []workEstimate {
	var list []workEstimate
	for _, one := range w.steadyPeriods(newest, count) {
		if one.answers < minAnswers {
			continue
		}
		answers := float64(one.answers)
		rate := answers / (float64(one.bins) * binLength.Seconds())
		list = append(list, workEstimate{work: workFromResponseTime(one.took.Seconds()/answers, rate, slots), weight: answers, bins: one.bins})
	}
	return list
}

// stretch is a number of bins one after the other with about the same rate.
type steadyPeriod struct {
	bins, answers int
	took          time.Duration
}

// Differences of a bin from those before that chance explains.
const (
	steadyDeviations    = 3.0
	minSteadyDifference = 3.0
)

// steady cuts the last whole bins into stretches.
func (w *Work) steadyPeriods(newest, count int64) []steadyPeriod {
	var list []steadyPeriod
	for number := max(0, newest-count); number < newest; number++ {
		one := w.bins[number%keptBins]
		if one.number != number {
			one = bin{}
		}
		last := len(list) - 1
		if last < 0 || !list[last].hasRateOf(one) {
			list = append(list, steadyPeriod{})
			last++
		}
		list[last].bins++
		list[last].answers += one.answers
		list[last].took += one.took
	}
	return list
}

// takes reports whether a bin has about the rate of a stretch.
func (s steadyPeriod) hasRateOf(one bin) bool {
	expected := float64(s.answers) / float64(s.bins)
	return math.Abs(float64(one.answers)-expected) <= minSteadyDifference+steadyDeviations*math.Sqrt(expected)
}

// mean returns the weighted mean of some estimates, with the weight of all. Stretches of
// one bin are left out where there are longer ones: the load changed within them.
func weightedMean(list []workEstimate, more ...workEstimate) workEstimate {
	long := slices.DeleteFunc(slices.Clone(list), func(one workEstimate) bool { return one.bins < 2 })
	if len(long) > 0 {
		list = long
	}
	sum, total := 0.0, 0.0
	for _, one := range append(list, more...) {
		sum += one.weight * one.work
		total += one.weight
	}
	return workEstimate{work: sum / total, weight: total}
}

// workFromResponseTime returns the mean time of work, in seconds, of a worker whose answers took some
// time at a rate: the work that, with the time that a queue of several servers adds at
// that rate, comes to what was measured.
func workFromResponseTime(took, rate float64, slots int) float64 {
	least, most := 0.0, min(took, float64(slots)/max(rate, 1e-9))
	for range bisections {
		middle := (least + most) / 2
		if middle+queueingTime(middle, rate, slots) > took {
			most = middle
		} else {
			least = middle
		}
	}
	return (least + most) / 2
}

// waiting approximates the mean time in the queue of a worker with several slots
// (Sakasegawa 1977, for work that varies about as an exponential does).
func queueingTime(work, rate float64, slots int) float64 {
	count := float64(max(slots, 1))
	busy := rate * work / count
	if busy >= 1 {
		return math.Inf(1)
	}
	return work * math.Pow(busy, math.Sqrt(2*(count+1))-1) / (count * (1 - busy))
}
