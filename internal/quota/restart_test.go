package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
)

// afterRestart lets callers ask below a tenant's limit, restarts all routers with their leader, and
// returns which share of the requests is refused in each second after another leader has begun.
func afterRestart(t testing.TB, l load, seconds int, unrecorded bool) []float64 {
	const warm, election = 20 * time.Second, 2 * time.Second
	chance := rand.New(rand.NewPCG(7, uint64(l.routers)))
	tenant := &routing.Tenant{Name: "tenant-17", Rate: l.rate, Burst: l.rate}
	w := newWorldOf(t, l.routers, tenant, unrecorded)
	w.paced = true
	began, restarted, elected := w.now, false, false
	asked, refused := make([]float64, seconds), make([]float64, seconds)
	for w.now.Sub(began) < warm+election+time.Duration(seconds)*time.Second {
		w.step(slotTime/10, func() time.Duration { return way })
		at := w.now.Sub(began)
		if at >= warm && !restarted {
			restarted, w.leader().killed = true, true
			for _, one := range w.routers {
				w.start(one)
			}
		}
		if at >= warm+election && !elected {
			elected = true
			w.elect()
			for _, one := range w.routers {
				one.leader = len(w.leaders) - 1
			}
		}
		for range poisson(chance, l.rate*l.share*(slotTime/10).Seconds()) {
			granted := w.ask(w.routers[chance.IntN(l.routers)])
			if second := int((at - warm - election) / time.Second); elected && second < seconds {
				asked[second]++
				if !granted {
					refused[second]++
				}
			}
		}
		if found, most := w.inWindow(), w.bound.Allowed(tenant); found > most {
			t.Fatalf("%d requests within a window, %d are allowed", found, most)
		}
	}
	for second := range asked {
		refused[second] /= max(1, asked[second])
	}
	return refused
}

// After a restart of all routers nobody knows what was in use. Leases of routers that may live were
// waited for, and their floors for five minutes more, though each had begun another life.
func TestLimitsAreBackAWindowAfterARestartOfAll(t *testing.T) {
	const seconds = 18
	for name, l := range map[string]load{
		"calm": {routers: 81, rate: 176, share: 0.5},
		"busy": {routers: 81, rate: 176, share: 0.85},
	} {
		t.Run(name, func(t *testing.T) {
			for _, unrecorded := range []bool{true, false} {
				refused := afterRestart(t, l, seconds, unrecorded)
				t.Logf("members stored: %t; refused by second: %.2f", !unrecorded, refused)
				if unrecorded {
					continue
				}
				for second, share := range refused {
					// What was spent before the restart, two seconds before another leader, rests.
					if time.Duration(second+2)*time.Second >= worldBound.rest()+time.Second {
						assert.Assert(t, share <= 0.1, "second %d: %.2f", second, share)
					}
				}
			}
		})
	}
}

// worldBound is what bounds requests in all worlds, as far as time goes.
var worldBound = Bound{Window: worldWindow}

// Members that are not stored get nothing, and what was given by a leader that stored none is
// waited for as before.
func TestWhoIsNotStoredGetsNothing(t *testing.T) {
	tenant := &routing.Tenant{Name: "t", Rate: 100, Burst: 100}
	bound := Bound{Window: 5 * time.Second}
	now := time.Unix(1000, 0)
	c := NewCoordinator(now, 1, true, bound)
	c.SetTenants(now, tenants(tenant))
	c.AwaitMembers()
	starts := func(node string, life int64) {
		c.HandleReport(now, Report{Node: node, Incarnation: life, Sequence: 1, Stamp: 1, Full: true, Tenants: map[routing.TenantName]TenantReport{tenant.Name: {0, 9, 0}}})
	}
	given := func() int {
		c.Tick(now, true, 2)
		return c.pools[tenant.Name].booked
	}
	starts("a", 1)
	assert.Equal(t, given(), 0, "it is not known yet whom to store")
	c.MembersLoaded(nil)
	assert.Equal(t, given(), 0)
	c.MembersStored(c.MembersToStore(now))
	before := given()
	assert.Assert(t, before > 0)
	starts("b", 1)
	given()
	assert.Assert(t, c.members["b"].holds[tenant.Name] == nil || c.members["b"].holds[tenant.Name].booked == 0)
	stored := c.MembersToStore(now)
	assert.DeepEqual(t, stored, Members{"a": 1, "b": 1})
	starts("a", 2) // and is not stored in this life

	next := NewCoordinator(now, 2, false, bound)
	next.SetTenants(now, tenants(tenant))
	next.AwaitMembers()
	next.MembersLoaded(Members{"a": 2, "b": 1})
	hear := func(node string, life int64) {
		next.HandleReport(now, Report{Node: node, Incarnation: life, Sequence: 1, Stamp: 9000, Full: true})
	}
	hear("a", 1)
	hear("b", 7)
	_, known := next.allKnown()
	assert.Assert(t, !known, "an earlier life says nothing of the stored one")
	hear("a", 2)
	at, known := next.allKnown()
	assert.Assert(t, known)
	assert.Assert(t, at.Before(now), "all are heard in the lives that were stored, or b's later one, which has begun long ago")

	old := NewCoordinator(now, 3, false, bound)
	old.AwaitMembers()
	old.MembersLoaded(nil)
	assert.Equal(t, old.known.state, notRecorded)
	assert.Assert(t, old.MembersToStore(now) == nil)
}

// What was spent in a life that has just ended may still be in a window, also where another leader
// has stored the next life meanwhile.
func TestWhatEndedLivesHaveSpentRests(t *testing.T) {
	for name, stored := range map[string]Members{
		"ended since the members were stored":   {"a": 1, "b": 1},
		"the next lives are stored by a leader": {"a": 2, "b": 2},
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
			for node, stamp := range map[string]int64{"a": 4000, "b": 1000} { // b has begun a second ago
				c.HandleReport(now, Report{Node: node, Incarnation: 2, Sequence: 1, Stamp: stamp, Full: true})
			}
			p, begun := c.pools[tenant.Name], now.Add(-time.Second)
			assert.Equal(t, c.most(begun.Add(bound.rest()-time.Millisecond), p), 0)
			assert.Equal(t, c.most(begun.Add(bound.rest()+time.Millisecond), p), bound.Allowed(tenant))
		})
	}
}
