package quota

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/routing"
)

// No window may contain more requests than the limit allows, whatever happens to routers, leaders
// and messages. After each step, the requests in the window that ends there are counted.
func TestNoWindowExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenant := &routing.Tenant{Name: "t", Rate: float64(rapid.IntRange(1, 30).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 40).Draw(t, "burst"))}
		w := newSimulationWith(t, rapid.IntRange(1, 6).Draw(t, "routers"), tenant, rapid.Bool().Draw(t, "unrecorded"))
		limit := w.bound.Allowed(tenant)
		// lowered is when the limit was last lowered; all routers know of it at once.
		var lowered time.Time
		delay := func() time.Duration {
			return time.Duration(rapid.IntRange(0, 800).Draw(t, "delay")) * time.Millisecond
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r := rapid.SampledFrom(w.routers).Draw(t, "router")
			switch rapid.SampledFrom(simulationEvents).Draw(t, "event") {
			case "cut": // partition a router, or end its partition
				r.partitioned = !r.partitioned
			case "restart":
				w.startRouter(r)
			case "freeze": // suspend a router
				r.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "frozen")) * time.Second)
			case "kill leader":
				w.leader().killed = true
			case "partition leader": // its authority is no longer renewed
				w.leader().authorityLost = true
			case "freeze leader": // suspend the leader
				w.leader().frozenUntil = w.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "frozen")) * time.Second)
			case "elect":
				w.elect()
			case "follow": // a router follows the current leader
				r.leader = len(w.leaders) - 1
			case "follow any": // a router follows the current leader or an earlier one
				r.leader = rapid.IntRange(0, len(w.leaders)-1).Draw(t, "leader")
			case "add":
				if len(w.routers) < 9 {
					w.addRouter()
				}
			case "store": // the store fails, or recovers
				w.storeDown = !w.storeDown
			case "restart all":
				w.leader().killed = true
				for _, one := range w.routers {
					w.startRouter(one)
				}
			case "limit":
				w.tenant = &routing.Tenant{Name: "t", Rate: float64(rapid.IntRange(1, 30).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 40).Draw(t, "burst"))}
				if w.leader().coordinator.SetTenants(w.now, tenants(w.tenant)) {
					w.unreported, w.claimExpiry = UnreportedShares{All: 1}, w.now.Add(w.bound.TakeoverDelay())
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
				w.returnOne(t)
			case "flood":
				for range 2 * limit {
					w.request(r)
				}
			case "flood all":
				for _, one := range w.routers {
					for range limit {
						w.request(one)
					}
				}
			default: // "ask" and "calm" send one request
				w.request(r)
			}
			if !lowered.IsZero() && w.now.Sub(lowered) >= testWindow {
				limit, lowered = w.bound.Allowed(w.tenant), time.Time{}
			}
			if found := w.grantedInWindow(); found > limit {
				t.Fatalf("%d requests within a window, limit %d", found, limit)
			}
			w.step(time.Duration(rapid.IntRange(10, 1500).Draw(t, "pause"))*time.Millisecond, delay)
		}
	})
}

// simulationEvents are the events that may occur; frequent ones are listed several times.
var simulationEvents = []string{
	"ask", "flood", "flood", "flood all", "flood all", "flood all", "cut", "restart", "freeze", "freeze", "kill leader",
	"partition leader", "freeze leader", "elect", "elect", "elect", "follow", "follow", "follow any", "restart all", "return", "limit", "calm", "calm", "store", "add",
}

func TestMain(m *testing.M) {
	flag.Parse()
	checksSet := false
	flag.Visit(func(f *flag.Flag) { checksSet = checksSet || f.Name == "rapid.checks" })
	if !checksSet {
		_ = flag.Set("rapid.checks", defaultChecks)
	}
	m.Run()
}
