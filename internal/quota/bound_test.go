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
		s := newSimulationWith(t, rapid.IntRange(1, 6).Draw(t, "routers"), tenant, rapid.Bool().Draw(t, "unrecorded"))
		limit := s.bound.Allowed(tenant)
		// lowered is when the limit was last lowered; all routers know of it at once.
		var lowered time.Time
		delay := func() time.Duration {
			return time.Duration(rapid.IntRange(0, 800).Draw(t, "delay")) * time.Millisecond
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r := rapid.SampledFrom(s.routers).Draw(t, "router")
			switch rapid.SampledFrom(simulationEvents).Draw(t, "event") {
			case "cut": // partition a router, or end its partition
				r.partitioned = !r.partitioned
			case "restart":
				s.startRouter(r)
			case "freeze": // suspend a router
				r.frozenUntil = s.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "frozen")) * time.Second)
			case "kill leader":
				s.leader().killed = true
			case "partition leader": // its authority is no longer renewed
				s.leader().authorityLost = true
			case "freeze leader": // suspend the leader
				s.leader().frozenUntil = s.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "frozen")) * time.Second)
			case "elect":
				s.elect()
			case "follow": // a router follows the current leader
				r.leader = len(s.leaders) - 1
			case "follow any": // a router follows the current leader or an earlier one
				r.leader = rapid.IntRange(0, len(s.leaders)-1).Draw(t, "leader")
			case "add":
				if len(s.routers) < 9 {
					s.addRouter()
				}
			case "store": // the store fails, or recovers
				s.storeDown = !s.storeDown
			case "restart all":
				s.leader().killed = true
				for _, router := range s.routers {
					s.startRouter(router)
				}
			case "limit":
				s.tenant = &routing.Tenant{Name: "t", Rate: float64(rapid.IntRange(1, 30).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 40).Draw(t, "burst"))}
				if s.leader().coordinator.SetTenants(s.now, tenants(s.tenant)) {
					s.unreported, s.claimExpiry = UnreportedShares{All: 1}, s.now.Add(s.bound.TakeoverDelay())
				}
				for _, router := range s.routers {
					router.tenant = s.tenant
					router.holder.SetTenants(tenants(s.tenant))
				}
				if units := s.bound.Allowed(s.tenant); units >= limit {
					limit = units
				} else {
					lowered = s.now
				}
			case "return":
				s.returnOne(t)
			case "flood":
				for range 2 * limit {
					s.request(r)
				}
			case "flood all":
				for _, router := range s.routers {
					for range limit {
						s.request(router)
					}
				}
			default: // "ask" and "calm" send one request
				s.request(r)
			}
			if !lowered.IsZero() && s.now.Sub(lowered) >= testWindow {
				limit, lowered = s.bound.Allowed(s.tenant), time.Time{}
			}
			if granted := s.grantedInWindow(); granted > limit {
				t.Fatalf("%d requests within a window, limit %d", granted, limit)
			}
			s.step(time.Duration(rapid.IntRange(10, 1500).Draw(t, "pause"))*time.Millisecond, delay)
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
