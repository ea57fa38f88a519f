package workerlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// window is the time over which a worker's requests are compared with its limit.
const window = 4 * time.Second

// maxArrivals returns how many requests may reach a worker within a window.
func maxArrivals(perSecond float64) float64 { return 1.5*perSecond*window.Seconds() + 5 }

// maxWithin returns the largest number of times within any window. The times are sorted.
func maxWithin(times []time.Time) int {
	count, first := 0, 0
	for index, last := range times {
		for last.Sub(times[first]) > window {
			first++
		}
		count = max(count, index-first+1)
	}
	return count
}

// No window may contain more grants than maxArrivals. Still, enough must be granted to use the limit,
// and to find out that it has ended.
func TestGrantsKeepLimitInEveryWindow(t *testing.T) {
	for name, test := range map[string]struct {
		perSecond, requested float64
		// used is the least share of the requests, or of the limit, that is granted.
		used float64
	}{
		"limit of zero":            {perSecond: 0, requested: 20},
		"less than one per window": {perSecond: 0.1, requested: 20},
		"few, many requests":       {perSecond: 2.5, requested: 20, used: 0.95},
		"few, fewer requests":      {perSecond: 5.1, requested: 4, used: 0.85},
		"few, as many requests":    {perSecond: 5.1, requested: 5.1, used: 0.75},
		"many":                     {perSecond: 40, requested: 200, used: 0.95},
		"more than are requested":  {perSecond: 1e300, requested: 200, used: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, random, worker := NewPacer(), rand.New(rand.NewPCG(1, 1)), workers.Incarnation{ID: "w"}
			const length = 200 * time.Second
			var sent []time.Time
			requested := 0
			for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
				if random.Float64() >= test.requested/1000 {
					continue
				}
				requested++
				if _, granted := p.Acquire(now, worker, test.perSecond, 0, false); granted {
					sent = append(sent, now)
				}
			}
			assert.Assert(t, float64(maxWithin(sent)) <= maxArrivals(test.perSecond), "%d", maxWithin(sent))
			expected := min(float64(requested), test.perSecond*length.Seconds())
			assert.Assert(t, float64(len(sent)) >= test.used*expected, "%d granted of %.0f", len(sent), expected)
			assert.Assert(t, float64(len(sent)) >= 0.9*minRate*length.Seconds(), "too few responses to learn that the limit has ended")
		})
	}
}

func TestWaitingRequestsAreSpacedEvenly(t *testing.T) {
	p, worker := NewPacer(), workers.Incarnation{ID: "w"}
	wait, granted := p.Acquire(start, worker, 10, 250*time.Millisecond, false)
	assert.Assert(t, granted && wait == 0)
	for _, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
		wait, granted = p.Acquire(start, worker, 10, 250*time.Millisecond, false)
		assert.Assert(t, granted)
		assert.Equal(t, wait, want)
	}
	_, granted = p.Acquire(start, worker, 10, 250*time.Millisecond, false)
	assert.Assert(t, !granted)
}

func TestRetryDelaysOfRefusedRequestsAreStaggered(t *testing.T) {
	p, worker := NewPacer(), workers.Incarnation{ID: "w"}
	p.Acquire(start, worker, 10, 0, false)
	for _, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		wait, granted := p.Acquire(start, worker, 10, 0, false)
		assert.Assert(t, !granted)
		assert.Equal(t, wait, want)
	}
	for range 100 {
		wait, _ := p.Acquire(start, worker, 10, 0, false)
		assert.Assert(t, wait <= maxRetryDelay)
	}
}

func TestUncertainLeaderAndItsSuccessorKeepTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2.5, 5, 40, 500} {
		before, after, worker := NewPacer(), NewPacer(), workers.Incarnation{ID: "w"}
		uncertainFrom := start.Add(10 * time.Second)
		var sent []time.Time
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(time.Millisecond) {
			if _, granted := before.Acquire(now, worker, perSecond, 0, now.After(uncertainFrom)); granted {
				sent = append(sent, now)
			}
			if !now.After(uncertainFrom) {
				continue
			}
			if _, granted := after.Acquire(now, worker, perSecond, 0, false); granted {
				sent = append(sent, now)
			}
		}
		assert.Assert(t, float64(maxWithin(sent)) <= maxArrivals(perSecond), "%d at %.1f per second", maxWithin(sent), perSecond)
	}
}

func TestRaisedLimitIsUsedAtOnce(t *testing.T) {
	p, worker := NewPacer(), workers.Incarnation{ID: "w"}
	for second := range 10 {
		p.Acquire(at(float64(second)), worker, 0, 0, false)
	}
	count := 0
	for now := at(10); now.Before(at(12)); now = now.Add(time.Millisecond) {
		if _, granted := p.Acquire(now, worker, 20, 0, false); granted {
			count++
		}
	}
	assert.Assert(t, count >= 18, "%d", count)
}

func TestNewIncarnationStartsWithNewBucket(t *testing.T) {
	p := NewPacer()
	for range 2 {
		p.Acquire(start, workers.Incarnation{ID: "w", StartTime: 1}, 1, 0, false)
	}
	_, granted := p.Acquire(start, workers.Incarnation{ID: "w", StartTime: 2}, 1, 0, false)
	assert.Assert(t, granted)
}
