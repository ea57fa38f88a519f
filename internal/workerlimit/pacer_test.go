package workerlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// window is over how long a worker's limit is held against what it gets.
const window = 4 * time.Second

// allowed is how many requests may reach a worker within a window.
func allowed(perSecond float64) float64 { return 1.5*perSecond*window.Seconds() + 5 }

// mostWithin returns the most times, which are in order, within a window.
func mostWithin(times []time.Time) int {
	most, first := 0, 0
	for index, last := range times {
		for last.Sub(times[first]) > window {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

func TestNoWindowHoldsMoreThanAWorkerTakes(t *testing.T) {
	for name, test := range map[string]struct {
		perSecond, asked float64
		// used is the least share of what is asked for, or of the limit, that leaves.
		used float64
	}{
		"nothing is taken":               {perSecond: 0, asked: 20},
		"less than one each window":      {perSecond: 0.1, asked: 20},
		"few, asked for often":           {perSecond: 2.5, asked: 20, used: 0.95},
		"few, asked for less often":      {perSecond: 5.1, asked: 4, used: 0.85},
		"few, asked for in the same way": {perSecond: 5.1, asked: 5.1, used: 0.75},
		"many":                           {perSecond: 40, asked: 200, used: 0.95},
		"more than are asked for":        {perSecond: 1e300, asked: 200, used: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, chance, life := NewPacer(), rand.New(rand.NewPCG(1, 1)), workers.Incarnation{ID: "w"}
			const length = 200 * time.Second
			var left []time.Time
			asked := 0
			for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
				if chance.Float64() >= test.asked/1000 {
					continue
				}
				asked++
				if _, granted := p.Take(now, life, test.perSecond, 0, false); granted {
					left = append(left, now)
				}
			}
			assert.Assert(t, float64(mostWithin(left)) <= allowed(test.perSecond), "%d", mostWithin(left))
			most := min(float64(asked), test.perSecond*length.Seconds())
			assert.Assert(t, float64(len(left)) >= test.used*most, "%d left of %.0f", len(left), most)
			assert.Assert(t, float64(len(left)) >= 0.9*leastRate*length.Seconds(), "nobody would learn that the limit has ended")
		})
	}
}

func TestPatientRequestsLeaveInTurn(t *testing.T) {
	p, life := NewPacer(), workers.Incarnation{ID: "w"}
	wait, granted := p.Take(start, life, 10, 250*time.Millisecond, false)
	assert.Assert(t, granted && wait == 0)
	for _, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
		wait, granted = p.Take(start, life, 10, 250*time.Millisecond, false)
		assert.Assert(t, granted)
		assert.Equal(t, wait, want)
	}
	_, granted = p.Take(start, life, 10, 250*time.Millisecond, false)
	assert.Assert(t, !granted)
}

func TestRefusedRequestsAreToldToComeOneAfterTheOther(t *testing.T) {
	p, life := NewPacer(), workers.Incarnation{ID: "w"}
	p.Take(start, life, 10, 0, false)
	for _, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		wait, granted := p.Take(start, life, 10, 0, false)
		assert.Assert(t, !granted)
		assert.Equal(t, wait, want)
	}
	for range 100 {
		wait, _ := p.Take(start, life, 10, 0, false)
		assert.Assert(t, wait <= longestWait)
	}
}

func TestALeaderInDoubtAndTheNextOneKeepTheLimitTogether(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2.5, 5, 40, 500} {
		before, after, life := NewPacer(), NewPacer(), workers.Incarnation{ID: "w"}
		doubt := start.Add(10 * time.Second)
		var left []time.Time
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(time.Millisecond) {
			if _, granted := before.Take(now, life, perSecond, 0, now.After(doubt)); granted {
				left = append(left, now)
			}
			if !now.After(doubt) {
				continue
			}
			if _, granted := after.Take(now, life, perSecond, 0, false); granted {
				left = append(left, now)
			}
		}
		assert.Assert(t, float64(mostWithin(left)) <= allowed(perSecond), "%d at %.1f a second", mostWithin(left), perSecond)
	}
}

func TestARaisedLimitIsUsedAtOnce(t *testing.T) {
	p, life := NewPacer(), workers.Incarnation{ID: "w"}
	for second := range 10 {
		p.Take(at(float64(second)), life, 0, 0, false)
	}
	count := 0
	for now := at(10); now.Before(at(12)); now = now.Add(time.Millisecond) {
		if _, granted := p.Take(now, life, 20, 0, false); granted {
			count++
		}
	}
	assert.Assert(t, count >= 18, "%d", count)
}

func TestAnotherLifeOfAWorkerStartsAnew(t *testing.T) {
	p := NewPacer()
	for range 2 {
		p.Take(start, workers.Incarnation{ID: "w", StartTime: 1}, 1, 0, false)
	}
	_, granted := p.Take(start, workers.Incarnation{ID: "w", StartTime: 2}, 1, 0, false)
	assert.Assert(t, granted)
}
