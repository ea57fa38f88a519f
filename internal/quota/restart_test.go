package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
)

// refusalsAfterRestart sends requests below a tenant's limit, restarts all routers and their
// leader, and returns the share of requests that is refused in each second from the next leader's
// start on.
func refusalsAfterRestart(t testing.TB, l load, seconds int, unrecorded bool) []float64 {
	const warm, election = 20 * time.Second, 2 * time.Second
	random := rand.New(rand.NewPCG(7, uint64(l.routers)))
	tenant := &routing.Tenant{Name: "tenant-17", Rate: l.rate, Burst: l.rate}
	s := newSimulationWith(t, l.routers, tenant, unrecorded)
	s.pacedReports = true
	began, restarted, elected := s.now, false, false
	requests, refused := make([]float64, seconds), make([]float64, seconds)
	for s.now.Sub(began) < warm+election+time.Duration(seconds)*time.Second {
		s.step(slotTime/10, func() time.Duration { return messageDelay })
		at := s.now.Sub(began)
		if at >= warm && !restarted {
			restarted, s.leader().killed = true, true
			for _, router := range s.routers {
				s.startRouter(router)
			}
		}
		if at >= warm+election && !elected {
			elected = true
			s.elect()
			for _, router := range s.routers {
				router.leader = len(s.leaders) - 1
			}
		}
		for range poisson(random, l.rate*l.share*(slotTime/10).Seconds()) {
			granted := s.request(s.routers[random.IntN(l.routers)])
			if second := int((at - warm - election) / time.Second); elected && second < seconds {
				requests[second]++
				if !granted {
					refused[second]++
				}
			}
		}
		if granted, limit := s.grantedInWindow(), s.bound.Allowed(tenant); granted > limit {
			t.Fatalf("%d requests within a window, limit %d", granted, limit)
		}
	}
	for second := range requests {
		refused[second] /= max(1, requests[second])
	}
	return refused
}

// After a restart of all routers, no process knows which units were in use. Without stored members
// a leader waits for the leases of routers that may still run, and for their floors for five
// minutes more, even though each router has started a new incarnation.
func TestLimitsRecoverOneWindowAfterFullRestart(t *testing.T) {
	const seconds = 18
	for name, l := range map[string]load{
		"calm": {routers: 81, rate: 176, share: 0.5},
		"busy": {routers: 81, rate: 176, share: 0.85},
	} {
		t.Run(name, func(t *testing.T) {
			for _, unrecorded := range []bool{true, false} {
				refused := refusalsAfterRestart(t, l, seconds, unrecorded)
				t.Logf("members stored: %t; refused by second: %.2f", !unrecorded, refused)
				if unrecorded {
					continue
				}
				for second, share := range refused {
					// Units spent before the restart, two seconds before the next leader's start,
					// stay in use.
					if time.Duration(second+2)*time.Second >= testBound.reuseDelay()+time.Second {
						assert.Assert(t, share <= 0.1, "second %d: %.2f", second, share)
					}
				}
			}
		})
	}
}

// testBound has the window of all simulations.
var testBound = Bound{Window: testWindow}

// Routers that are not stored as members get no units, and a leader waits for the leases of a
// previous leader that stored no members.
func TestUnstoredMembersGetNoUnits(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 100, Burst: 100}
	bound := Bound{Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	c := NewCoordinator(now, 1, true, bound)
	c.SetTenants(now, tenants(tenant))
	c.AwaitMembers()
	reportFrom := func(node string, startTime int64) {
		c.HandleReport(now, Report{Node: node, StartTime: startTime, Sequence: 1, Stamp: 1, Full: true, Tenants: map[routing.TenantName]TenantReport{tenant.Name: {0, 9, 0}}})
	}
	outstanding := func() int {
		c.Tick(now, true, 2)
		return c.pools[tenant.Name].outstanding
	}
	reportFrom("a", 1)
	assert.Equal(t, outstanding(), 0, "the stored members are not loaded yet")
	c.MembersLoaded(nil)
	assert.Equal(t, outstanding(), 0)
	c.MembersStored(c.MembersToStore(now))
	before := outstanding()
	assert.Assert(t, before > 0)
	reportFrom("b", 1)
	outstanding()
	assert.Assert(t, c.members["b"].holdings[tenant.Name] == nil || c.members["b"].holdings[tenant.Name].outstanding == 0)
	stored := c.MembersToStore(now)
	assert.DeepEqual(t, stored, Members{"a": 1, "b": 1})
	reportFrom("a", 2) // not stored in this incarnation

	next := NewCoordinator(now, 2, false, bound)
	next.SetTenants(now, tenants(tenant))
	next.AwaitMembers()
	next.MembersLoaded(Members{"a": 2, "b": 1})
	reportToNext := func(node string, startTime int64) {
		next.HandleReport(now, Report{Node: node, StartTime: startTime, Sequence: 1, Stamp: 9000, Full: true})
	}
	reportToNext("a", 1)
	reportToNext("b", 7)
	_, known := next.priorGrantsKnown()
	assert.Assert(t, !known, "a report of an earlier incarnation does not account for the stored one")
	reportToNext("a", 2)
	at, known := next.priorGrantsKnown()
	assert.Assert(t, known)
	assert.Assert(t, at.Before(now), "all have reported, in the stored incarnation or, as b, in a later one that started long ago")

	old := NewCoordinator(now, 3, false, bound)
	old.AwaitMembers()
	old.MembersLoaded(nil)
	assert.Equal(t, old.membership.state, membersUnrecorded)
	assert.Assert(t, old.MembersToStore(now) == nil)
}

// Units spent in an incarnation that has just ended may still be in a window, even if another
// leader has stored the next incarnation meanwhile.
func TestUnitsSpentInEndedIncarnationsStayInUse(t *testing.T) {
	for name, stored := range map[string]Members{
		"ended since the members were stored": {"a": 1, "b": 1},
		"the next incarnations are stored":    {"a": 2, "b": 2},
	} {
		t.Run(name, func(t *testing.T) {
			tenant := &routing.Tenant{Name: "t", Rate: 100, Burst: 100}
			bound := Bound{Window: 5 * time.Second}
			now := time.Unix(1000, 0)
			c := NewCoordinator(now, 2, false, bound)
			c.SetTenants(now, tenants(tenant))
			c.MarkBusy(tenant.Name)
			c.AwaitMembers()
			c.MembersLoaded(stored)
			for node, stamp := range map[string]int64{"a": 4000, "b": 1000} { // b started a second ago
				c.HandleReport(now, Report{Node: node, StartTime: 2, Sequence: 1, Stamp: stamp, Full: true})
			}
			p, restarted := c.pools[tenant.Name], now.Add(-time.Second)
			assert.Equal(t, c.maxOutstanding(restarted.Add(bound.reuseDelay()-time.Millisecond), p), 0)
			assert.Equal(t, c.maxOutstanding(restarted.Add(bound.reuseDelay()+time.Millisecond), p), bound.Allowed(tenant))
		})
	}
}
