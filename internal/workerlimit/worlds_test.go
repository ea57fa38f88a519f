package workerlimit

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestALimitOverAllRoutersHoldsWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 11, 81, 300}).Draw(t, "routers")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), routers, rapid.SampledFrom([]float64{3, 20, 200}).Draw(t, "asked a second"))
		events := map[string]func(){
			"names a limit": func() {
				w.name(rapid.SampledFrom([]float64{0, 0.4, 2.5, 5.1, 40}).Draw(t, "limit"), true)
			},
			"names none":       func() { w.name(0, false) },
			"the leader ends":  w.loseLeader,
			"a router starts":  func() { w.restart(w.routers[rapid.IntRange(0, routers-1).Draw(t, "router")]) },
			"routers are cut":  func() { w.cut(1+w.chance.IntN(routers/2), time.Duration(500+w.chance.IntN(6000))*time.Millisecond) },
			"nothing":          func() {},
			"a worker is anew": func() { w.name(0, false); w.worker.life.StartTime++ },
		}
		names := slices.Sorted(func(yield func(string) bool) {
			for name := range events {
				if !yield(name) {
					return
				}
			}
		})
		w.run(time.Second)
		w.name(5.1, true)
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			events[rapid.SampledFrom(names).Draw(t, "event")]()
			w.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause")) * time.Millisecond)
		}
		w.run(5 * time.Second)
		if broken := w.broken(); len(broken) > 0 {
			t.Fatal(broken)
		}
	})
}

func TestALimitIsUsedHoweverManyRoutersThereAre(t *testing.T) {
	for _, routers := range []int{11, 81, 300} {
		for _, perSecond := range []float64{2.5, 5.1, 40} {
			w := newWorld(7, routers, 3*perSecond)
			w.name(perSecond, true)
			w.run(5 * time.Second)
			before := w.granted
			w.run(40 * time.Second)
			share := float64(w.granted-before) / 40 / perSecond
			t.Logf("%d routers, %.1f a second: %.2f of the limit used", routers, perSecond, share)
			assert.Assert(t, share > 0.85, "%d routers, %.1f a second: %.2f of the limit used", routers, perSecond, share)
			assert.Equal(t, len(w.broken()), 0)
		}
	}
}

func TestAllRoutersLearnALimitAndItsEnd(t *testing.T) {
	for _, routers := range []int{11, 300} {
		w := newWorld(3, routers, 20)
		w.run(time.Second)
		w.name(5, true)
		w.run(contact)
		for _, one := range w.routers {
			assert.Equal(t, one.member.Table().ActiveCount(), 1)
		}
		w.name(0, false)
		w.run(contact)
		for _, one := range w.routers {
			assert.Equal(t, one.member.Table().ActiveCount(), 0)
		}
	}
}
