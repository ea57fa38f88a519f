package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All processes send as much as they may to workers that restarted together.
func TestColdWorkerRateHoldsOverAllProcesses(t *testing.T) {
	const rate, maxInOneSecond = 4.2, 14 // per second, of the users' platform
	for name, nodes := range map[string]int{"few": 3, "some": 11, "many": 74, "very many": 295} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			sent, windows, worst := 0, 0, 0
			for range 100 { // workers
				limiters := make([]coldLimiter, nodes)
				start := time.Unix(1000, 0)
				until := start.Add(3 * time.Second)
				for index := range limiters { // state at the start of a warm-up period
					limiters[index] = coldLimiter{tokens: random.Float64(), refilledAt: start, periodEnd: until}
				}
				var sends []time.Time
				for now := start; now.Before(until); now = now.Add(10 * time.Millisecond) {
					for index := range limiters {
						if limiters[index].take(now, until, rate, nodes) {
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
			assert.Assert(t, worst <= maxInOneSecond, "%d", worst)
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
		"no rate limit":               {until: now.Add(time.Second), nodes: 10, ready: true},
		"unknown number of processes": {until: now.Add(time.Second), rate: 4},
		"between two sends":           {until: now.Add(time.Second), rate: 4, nodes: 10},
		"never cold, unknown number of processes": {rate: 4, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			var limiter coldLimiter
			assert.Equal(t, limiter.ready(now, c.until, c.rate, c.nodes), c.ready)
		})
	}
}

// Tokens accrued in an earlier warm-up period do not count in the next one.
func TestTokensDoNotCarryOverToNextWarmUp(t *testing.T) {
	start := time.Unix(1000, 0)
	var limiter coldLimiter
	limiter.ready(start, start.Add(time.Second), 1, 1)
	assert.Assert(t, limiter.ready(start.Add(time.Second/2), start.Add(10*time.Second), 4, 1), "the warm-up period is extended")
	again := start.Add(time.Minute)
	assert.Assert(t, !limiter.ready(again, again.Add(time.Second), 4, 1))
}
