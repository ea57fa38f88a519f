package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLatencyMean(t *testing.T) {
	const prior = 100 * time.Millisecond
	repeat := func(count int, took time.Duration) []time.Duration {
		list := make([]time.Duration, count)
		for index := range list {
			list[index] = took
		}
		return list
	}
	for name, c := range map[string]struct {
		answers     []time.Duration
		least, most time.Duration
	}{
		"nothing":                     {least: prior, most: prior},
		"one fast answer":             {answers: repeat(1, 10*time.Millisecond), least: 60 * time.Millisecond, most: 80 * time.Millisecond},
		"many":                        {answers: repeat(40, 50*time.Millisecond), least: 50 * time.Millisecond, most: 56 * time.Millisecond},
		"occasionally slow":           {answers: append(repeat(30, 50*time.Millisecond), 400*time.Millisecond, 50*time.Millisecond, 400*time.Millisecond), least: 50 * time.Millisecond, most: 90 * time.Millisecond},
		"three slow answers in a row": {answers: append(repeat(30, 50*time.Millisecond), repeat(3, 400*time.Millisecond)...), least: 250 * time.Millisecond, most: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var latency Latency
			now := time.Unix(1000, 0)
			for _, took := range c.answers {
				now = now.Add(100 * time.Millisecond)
				latency.Add(now, took, prior)
			}
			got := latency.Mean(prior)
			assert.Assert(t, got >= c.least && got <= c.most, "%v", got)
		})
	}
}

func TestExpectedLatencyOfIdleWorkerReturnsToPrior(t *testing.T) {
	const prior, slow = 100 * time.Millisecond, 3 * time.Second
	for name, answers := range map[string]int{"a few answers": 4, "many": 40} {
		t.Run(name, func(t *testing.T) {
			var latency Latency
			now := time.Unix(1000, 0)
			for range answers {
				latency.Add(now, slow, prior)
			}
			assert.Equal(t, latency.Expected(now.Add(decayDelay), prior), latency.Mean(prior))
			assert.Assert(t, latency.Expected(now.Add(2*decayDelay), prior) > slow/2, "one second changes little")
			assert.Assert(t, latency.Expected(now.Add(12*time.Second), prior) < 3*prior)
		})
	}
}

func TestLateShare(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		spread      float64
		mean, limit time.Duration
	}{
		"varies little":       {spread: 0.3, mean: 78 * time.Millisecond, limit: 110 * time.Millisecond},
		"varies much":         {spread: 0.8, mean: 42 * time.Millisecond, limit: 140 * time.Millisecond},
		"varies much, slower": {spread: 0.8, mean: 84 * time.Millisecond, limit: 140 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var spread Spread
			late, count := 0, 4000
			for range count {
				took := time.Duration(float64(c.mean) * math.Exp(c.spread*random.NormFloat64()-c.spread*c.spread/2))
				spread.Add(took, c.mean)
				if took > c.limit {
					late++
				}
			}
			got, want := spread.LateShare(c.mean, c.limit), float64(late)/float64(count)
			assert.Assert(t, math.Abs(got-want) < 0.04, "%f, not %f", got, want)
		})
	}
}
