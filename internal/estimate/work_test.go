package estimate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// freeAt is a heap of the times at which a worker's slots become free.
type freeAt []float64

func (f freeAt) Len() int           { return len(f) }
func (f freeAt) Less(i, j int) bool { return f[i] < f[j] }
func (f freeAt) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeAt) Push(one any)      { *f = append(*f, one.(float64)) }
func (f *freeAt) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// worker simulates a queue with several slots and highly variable work times.
type worker struct {
	random *rand.Rand
	slots  freeAt
	queue  int
	now    float64
}

func newWorker(seed uint64, slots, queue int) *worker {
	return &worker{random: rand.New(rand.NewPCG(seed, 2)), slots: make(freeAt, slots), queue: queue}
}

// serve simulates some seconds of requests at a rate, and adds their answers to the estimate as a
// number of processes report them.
func (w *worker) serve(estimate *Work, seconds, rate, work float64) {
	const report = 0.055 // eleven processes report in turn
	const spread = 0.8
	answers, total := 0, 0.0
	for next, end := w.now+report, w.now+seconds; w.now < end; {
		w.now += w.random.ExpFloat64() / rate
		for w.now > next {
			estimate.Add(at(next), answers, time.Duration(total*float64(time.Second)))
			answers, total = 0, 0
			next += report
		}
		begins := math.Max(w.now, w.slots[0])
		if (begins-w.now)*float64(len(w.slots))/work > float64(w.queue) {
			continue // the queue is full
		}
		took := work * math.Exp(spread*w.random.NormFloat64()-spread*spread/2)
		w.slots[0] = begins + took
		heap.Fix(&w.slots, 0)
		answers, total = answers+1, total+begins+took-w.now
	}
}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestWorkEstimateIsAccurateAtAnyLoad(t *testing.T) {
	const prior = 60 * time.Millisecond
	for name, c := range map[string]struct {
		work, rate float64
		slots      int
	}{
		"idle and fast":       {work: 0.037, rate: 10, slots: 4},
		"idle and slow":       {work: 0.086, rate: 10, slots: 4},
		"busy and fast":       {work: 0.037, rate: 87, slots: 4},
		"full":                {work: 0.037, rate: 105, slots: 4},
		"overloaded and slow": {work: 0.086, rate: 87, slots: 4},
		"far overloaded":      {work: 0.086, rate: 200, slots: 4},
		"few slots":           {work: 0.090, rate: 15, slots: 2},
	} {
		t.Run(name, func(t *testing.T) {
			bias, spread := 0.0, 0.0
			const seeds = 50
			for seed := range uint64(seeds) {
				estimate := NewWork(at(0))
				worker := newWorker(seed, c.slots, 16)
				worker.serve(estimate, 12, c.rate, c.work)
				off := math.Log(estimate.Mean(at(worker.now), c.slots, prior).Seconds() / c.work)
				bias += off / seeds
				spread += off * off / seeds
			}
			t.Logf("bias %.3f, error %.3f", bias, math.Sqrt(spread))
			assert.Assert(t, math.Abs(bias) < 0.1, "%f", bias)
			assert.Assert(t, math.Sqrt(spread) < 0.2, "%f", spread)
		})
	}
}

// A sudden load must not be mistaken for a slower worker: an average over an interval in which it
// began shows long waits at a low rate.
func TestLoadSpikeIsNotSlowness(t *testing.T) {
	for seed := range uint64(20) {
		estimate := NewWork(at(0))
		worker := newWorker(seed, 4, 16)
		worker.serve(estimate, 8, 12, 0.037)
		for range 6 {
			worker.serve(estimate, 0.3, 160, 0.037)
			got := estimate.Mean(at(worker.now), 4, 60*time.Millisecond).Seconds()
			assert.Assert(t, math.Abs(math.Log(got/0.037)) < 0.4, "seed %d: %f", seed, got)
		}
	}
}

func TestSlowdownIsDetectedQuickly(t *testing.T) {
	estimate := NewWork(at(0))
	worker := newWorker(1, 4, 16)
	worker.serve(estimate, 12, 25, 0.06)
	worker.serve(estimate, 3, 25, 0.3)
	got := estimate.Mean(at(worker.now), 4, 60*time.Millisecond)
	assert.Assert(t, got > 130*time.Millisecond, "%v", got)
}

func TestMeanWithoutAnswersIsThePrior(t *testing.T) {
	estimate := NewWork(at(0))
	assert.Equal(t, estimate.Mean(at(5), 4, time.Second), time.Second)
}
