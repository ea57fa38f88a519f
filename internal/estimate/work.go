// Package estimate measures workers from outside: how long they work on a request,
// whether or not they tell their load.
//
// It is pure: it is told the time.
package estimate

import (
	"math"
	"time"
)

// Times and bounds of measuring work.
const (
	// slowWindow and fastWindow are the time constants of the two averages.
	slowWindow = 6 * time.Second
	fastWindow = 1500 * time.Millisecond
	// variation is the usual standard deviation of work, as a share of its mean.
	variation = 0.9
	// changeDeviations is how many standard deviations the fast average must be away
	// from the slow one to stand for a worker that has changed.
	changeDeviations = 3.0
	// changeLeast is a difference, as a share, that is none.
	changeLeast = 0.3
	// priorAnswers is how many answers what is usual counts for.
	priorAnswers = 6.0
	// leastAnswers is how many the fast average needs.
	leastAnswers = 5.0
	// bisections of the search for the time of work: an error below one in a million.
	bisections = 20
)

// Work estimates one worker's mean time of work on a request from the answers that all
// processes got: how many in a time, and after how long. By Little's law they tell how
// many requests were there at once; a queue with several servers tells how much of the
// time was spent waiting.
type Work struct {
	slow, fast sums
	began      time.Time
}

// sums are decayed sums of answers.
type sums struct {
	answers, seconds float64
	at               time.Time
}

// NewWork returns an estimate that knows nothing.
func NewWork(now time.Time) *Work { return &Work{began: now} }

// Add takes a number of answers and the sum of their times at the worker.
func (w *Work) Add(now time.Time, answers int, took time.Duration) {
	w.slow.add(now, slowWindow, answers, took)
	w.fast.add(now, fastWindow, answers, took)
}

func (s *sums) add(now time.Time, window time.Duration, answers int, took time.Duration) {
	s.decay(now, window)
	s.answers += float64(answers)
	s.seconds += took.Seconds()
}

func (s *sums) decay(now time.Time, window time.Duration) {
	if passed := now.Sub(s.at); passed > 0 && !s.at.IsZero() {
		factor := math.Exp(-passed.Seconds() / window.Seconds())
		s.answers *= factor
		s.seconds *= factor
	}
	s.at = now
}

// Mean returns the mean time of work at a worker with a number of slots. What is usual
// stands for a worker that has hardly answered.
func (w *Work) Mean(now time.Time, slots int, usual time.Duration) time.Duration {
	slow := w.mean(now, w.slow, slowWindow, slots, usual, priorAnswers)
	if w.fast.answers < leastAnswers {
		return slow
	}
	fast := w.mean(now, w.fast, fastWindow, slots, slow, 0)
	difference := math.Abs(math.Log(fast.Seconds() / slow.Seconds()))
	if difference > changeLeast+changeDeviations*variation/math.Sqrt(w.fast.answers) {
		return fast
	}
	return slow
}

// mean estimates from one of the averages. It changes nothing but a copy.
func (w *Work) mean(now time.Time, s sums, window time.Duration, slots int, usual time.Duration, prior float64) time.Duration {
	s.decay(now, window)
	if s.answers < 0.5 {
		return usual
	}
	running := max(now.Sub(w.began).Seconds(), 0.2)
	span := window.Seconds() * (1 - math.Exp(-running/window.Seconds()))
	worked := workOf(s.seconds/s.answers, s.answers/span, slots)
	weighted := (prior*usual.Seconds() + s.answers*worked) / (prior + s.answers)
	return time.Duration(weighted * float64(time.Second))
}

// workOf returns the mean time of work, in seconds, of a worker whose answers took some
// time at a rate: the work that, with the time that a queue of several servers adds at
// that rate, comes to what was measured.
func workOf(took, rate float64, slots int) float64 {
	least, most := 0.0, min(took, float64(slots)/max(rate, 1e-9))
	for range bisections {
		middle := (least + most) / 2
		if middle+waiting(middle, rate, slots) > took {
			most = middle
		} else {
			least = middle
		}
	}
	return (least + most) / 2
}

// waiting approximates the mean time in the queue of a worker with several slots
// (Sakasegawa 1977, for work that varies about as an exponential does).
func waiting(work, rate float64, slots int) float64 {
	count := float64(max(slots, 1))
	busy := rate * work / count
	if busy >= 1 {
		return math.Inf(1)
	}
	return work * math.Pow(busy, math.Sqrt(2*(count+1))-1) / (count * (1 - busy))
}
