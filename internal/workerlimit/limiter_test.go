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
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), routers, rapid.SampledFrom([]float64{3, 20, 200}).Draw(t, "requests per second"))
		events := map[string]func(){
			"limit is set": func() {
				w.setLimit(rapid.SampledFrom([]float64{0, 0.4, 2.5, 5.1, 40}).Draw(t, "limit"), true)
			},
			"limit is unset":       func() { w.setLimit(0, false) },
			"the leader is lost":   w.loseLeader,
			"a router restarts":    func() { w.restart(w.routers[rapid.IntRange(0, routers-1).Draw(t, "router")]) },
			"routers are isolated": func() { w.isolate(1+w.random.IntN(routers/2), time.Duration(500+w.random.IntN(6000))*time.Millisecond) },
			"nothing":              func() {},
			"a worker restarts":    func() { w.setLimit(0, false); w.worker.life.Born++ },
		}
		names := slices.Sorted(func(yield func(string) bool) {
			for name := range events {
				if !yield(name) {
					return
				}
			}
		})
		w.run(time.Second)
		w.setLimit(5.1, true)
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			events[rapid.SampledFrom(names).Draw(t, "event")]()
			w.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause")) * time.Millisecond)
		}
		w.run(5 * time.Second)
		if violations := w.violations(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}

func TestLimitIsUsedWithManyRouters(t *testing.T) {
	for _, routers := range []int{11, 81, 300} {
		for _, perSecond := range []float64{2.5, 5.1, 40} {
			w := newSimulation(7, routers, 3*perSecond)
			w.setLimit(perSecond, true)
			w.run(5 * time.Second)
			before := w.granted
			w.run(40 * time.Second)
			share := float64(w.granted-before) / 40 / perSecond
			t.Logf("%d routers, %.1f per second: %.2f of the limit used", routers, perSecond, share)
			assert.Assert(t, share > 0.85, "%d routers, %.1f per second: %.2f of the limit used", routers, perSecond, share)
			assert.Equal(t, len(w.violations()), 0)
		}
	}
}

func TestAllRoutersReceiveLimitAndItsEnd(t *testing.T) {
	for _, routers := range []int{11, 300} {
		w := newSimulation(3, routers, 20)
		w.run(time.Second)
		w.setLimit(5, true)
		w.run(propagationTime)
		for _, one := range w.routers {
			assert.Equal(t, one.limiter.Table().ActiveCount(), 1)
		}
		w.setLimit(0, false)
		w.run(propagationTime)
		for _, one := range w.routers {
			assert.Equal(t, one.limiter.Table().ActiveCount(), 0)
		}
	}
}
