package quota

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/routing"
)

// In no window do more requests run than the limit allows, whatever becomes of routers, leaders
// and messages: at each request the window that ends there is counted.
func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenant := &routing.Tenant{Name: "t", Rate: float64(rapid.IntRange(1, 30).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 40).Draw(t, "burst"))}
		w := newWorldOf(t, rapid.IntRange(1, 6).Draw(t, "routers"), tenant, rapid.Bool().Draw(t, "unrecorded"))
		limit := w.bound.Allowed(tenant)
		// lowered is when all routers knew of the last lower limit.
		var lowered time.Time
		delay := func() time.Duration {
			return time.Duration(rapid.IntRange(0, 800).Draw(t, "delay")) * time.Millisecond
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r := rapid.SampledFrom(w.routers).Draw(t, "router")
			switch rapid.SampledFrom(worldEvents).Draw(t, "event") {
			case "cut":
				r.cut = !r.cut
			case "restart":
				w.start(r)
			case "freeze":
				r.frozen = w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "frozen")) * time.Second)
			case "kill leader":
				w.leader().killed = true
			case "partition leader":
				w.leader().lost = true
			case "freeze leader":
				w.leader().frozen = w.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "frozen")) * time.Second)
			case "elect":
				w.elect()
			case "follow":
				r.leader = len(w.leaders) - 1
			case "follow any":
				r.leader = rapid.IntRange(0, len(w.leaders)-1).Draw(t, "leader")
			case "add":
				if len(w.routers) < 9 {
					w.add()
				}
			case "store":
				w.away = !w.away
			case "restart all":
				w.leader().killed = true
				for _, one := range w.routers {
					w.start(one)
				}
			case "limit":
				w.tenant = &routing.Tenant{Name: "t", Rate: float64(rapid.IntRange(1, 30).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 40).Draw(t, "burst"))}
				if w.leader().coordinator.SetTenants(w.now, tenants(w.tenant)) {
					w.leftover, w.reserved = UnreportedShares{All: 1}, w.now.Add(w.bound.TakeoverDelay())
				}
				for _, one := range w.routers {
					one.tenant = w.tenant
					one.holder.SetTenants(tenants(w.tenant))
				}
				if units := w.bound.Allowed(w.tenant); units >= limit {
					limit = units
				} else {
					lowered = w.now
				}
			case "return":
				w.giveBack(t)
			case "flood":
				for range 2 * limit {
					w.ask(r)
				}
			case "flood all":
				for _, one := range w.routers {
					for range limit {
						w.ask(one)
					}
				}
			default:
				w.ask(r)
			}
			if !lowered.IsZero() && w.now.Sub(lowered) >= worldWindow {
				limit, lowered = w.bound.Allowed(w.tenant), time.Time{}
			}
			if found := w.inWindow(); found > limit {
				t.Fatalf("%d requests within a window, %d are allowed", found, limit)
			}
			w.step(time.Duration(rapid.IntRange(10, 1500).Draw(t, "pause"))*time.Millisecond, delay)
		}
	})
}

// worldEvents name what may happen, the frequent ones several times.
var worldEvents = []string{
	"ask", "flood", "flood", "flood all", "flood all", "flood all", "cut", "restart", "freeze", "freeze", "kill leader",
	"partition leader", "freeze leader", "elect", "elect", "elect", "follow", "follow", "follow any", "restart all", "return", "limit", "calm", "calm", "store", "add",
}

func TestMain(m *testing.M) {
	flag.Parse()
	asked := false
	flag.Visit(func(f *flag.Flag) { asked = asked || f.Name == "rapid.checks" })
	if !asked {
		_ = flag.Set("rapid.checks", leastWorlds)
	}
	m.Run()
}
