package workerlimit

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLimitHoldsAcrossFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 11, 81, 300}).Draw(t, "routers")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), routers, rapid.SampledFrom([]float64{3, 20, 200}).Draw(t, "requests per second"))
		events := map[string]func(){
			"limit is set": func() {
				s.setLimit(rapid.SampledFrom([]float64{0, 0.4, 2.5, 5.1, 40}).Draw(t, "limit"), true)
			},
			"limit is unset":       func() { s.setLimit(0, false) },
			"the leader is lost":   s.loseLeader,
			"a router restarts":    func() { s.restart(s.routers[rapid.IntRange(0, routers-1).Draw(t, "router")]) },
			"routers are isolated": func() { s.isolate(1+s.random.IntN(routers/2), time.Duration(500+s.random.IntN(6000))*time.Millisecond) },
			"nothing":              func() {},
			"a worker restarts":    func() { s.setLimit(0, false); s.worker.incarnation.StartTime++ },
		}
		names := slices.Sorted(func(yield func(string) bool) {
			for name := range events {
				if !yield(name) {
					return
				}
			}
		})
		s.run(time.Second)
		s.setLimit(5.1, true)
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			events[rapid.SampledFrom(names).Draw(t, "event")]()
			s.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause")) * time.Millisecond)
		}
		s.run(5 * time.Second)
		if violations := s.violations(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}

// Guards against a fault: a worker that nobody asked for a while lowered its limit. The requests saved up
// at the earlier limit were then sent before any response could announce the new one.
func TestLimitLoweredWhileIdle(t *testing.T) {
	for name, test := range map[string]struct{ before, after float64 }{
		"few to none":  {before: 5.1, after: 0},
		"many to none": {before: 40, after: 0},
		"many to few":  {before: 40, after: 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				s := newSimulation(seed, 11, 300)
				s.run(time.Second)
				s.setLimit(test.before, true)
				s.run(5 * time.Second)
				s.idle = true
				s.run(1100 * time.Millisecond)
				s.setLimit(test.after, true)
				s.run(1100 * time.Millisecond)
				s.idle = false
				s.run(6 * time.Second)
				assert.Equal(t, len(s.violations()), 0, "seed %d: %v", seed, s.violations())
			}
		})
	}
}

func TestLimitIsUsedWithManyRouters(t *testing.T) {
	for _, routers := range []int{11, 81, 300} {
		for _, perSecond := range []float64{2.5, 5.1, 40} {
			s := newSimulation(7, routers, 3*perSecond)
			s.setLimit(perSecond, true)
			s.run(5 * time.Second)
			before := s.granted
			s.run(40 * time.Second)
			share := float64(s.granted-before) / 40 / perSecond
			t.Logf("%d routers, %.1f per second: %.2f of the limit used", routers, perSecond, share)
			assert.Assert(t, share > 0.85, "%d routers, %.1f per second: %.2f of the limit used", routers, perSecond, share)
			assert.Equal(t, len(s.violations()), 0)
		}
	}
}

func TestAllRoutersReceiveLimitAndItsEnd(t *testing.T) {
	for _, routers := range []int{11, 300} {
		s := newSimulation(3, routers, 20)
		s.run(time.Second)
		s.setLimit(5, true)
		s.run(propagationTime)
		for _, one := range s.routers {
			assert.Equal(t, one.limiter.Table().ActiveCount(), 1)
		}
		s.setLimit(0, false)
		s.run(propagationTime)
		for _, one := range s.routers {
			assert.Equal(t, one.limiter.Table().ActiveCount(), 0)
		}
	}
}
