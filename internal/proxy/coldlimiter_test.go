package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All processes try to send as much as they can to workers that came back together.
func TestColdWorkerRateHoldsOverAllProcesses(t *testing.T) {
	const rate, most = 4.2, 14 // a second, of the users' platform
	for name, nodes := range map[string]int{"few": 3, "some": 11, "many": 74, "very many": 295} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			sent, windows, worst := 0, 0, 0
			for range 100 { // workers
				gates := make([]coldLimiter, nodes)
				start := time.Unix(1000, 0)
				until := start.Add(3 * time.Second)
				for index := range gates { // as a spell begins
					gates[index] = coldLimiter{tokens: random.Float64(), refilledAt: start, periodEnd: until}
				}
				var sends []time.Time
				for now := start; now.Before(until); now = now.Add(10 * time.Millisecond) {
					for index := range gates {
						if gates[index].take(now, until, rate, nodes) {
							sends = append(sends, now)
						}
					}
				}
				sent += len(sends)
				windows += 3
				first := 0
				for last := range sends {
					for sends[last].Sub(sends[first]) >= time.Second {
						first++
					}
					worst = max(worst, last-first+1)
				}
			}
			mean := float64(sent) / float64(windows)
			assert.Assert(t, mean > 0.9*coldShare*rate && mean < 1.1*coldShare*rate, "%v", mean)
			assert.Assert(t, worst <= most, "%d", worst)
		})
	}
}

func TestColdLimiterReady(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		until time.Time
		rate  float64
		nodes int
		ready bool
	}{
		"warm":                        {until: now, rate: 4, nodes: 10, ready: true},
		"bears any number":            {until: now.Add(time.Second), nodes: 10, ready: true},
		"processes are not known":     {until: now.Add(time.Second), rate: 4},
		"between two sends":           {until: now.Add(time.Second), rate: 4, nodes: 10},
		"never cold, nothing is told": {rate: 4, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			var gate coldLimiter
			assert.Equal(t, gate.ready(now, c.until, c.rate, c.nodes), c.ready)
		})
	}
}

// What gathered in an earlier spell does not count in the next.
func TestTokensDoNotCarryOverToNextWarmUp(t *testing.T) {
	start := time.Unix(1000, 0)
	var gate coldLimiter
	gate.ready(start, start.Add(time.Second), 1, 1)
	assert.Assert(t, gate.ready(start.Add(time.Second/2), start.Add(10*time.Second), 4, 1), "the spell lasts longer")
	again := start.Add(time.Minute)
	assert.Assert(t, !gate.ready(again, again.Add(time.Second), 4, 1))
}
