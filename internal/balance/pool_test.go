package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/bundle"
)

func anyServer(bundle.ServerName) bool { return true }

// members returns back ends m0, m1, ... in zone z1 with two slots each.
func members(count int) []Member {
	list := make([]Member, 0, count)
	for i := range count {
		list = append(list, Member{Name: bundle.ServerName(fmt.Sprintf("m%d", i)), Zone: "z1", Slots: 2, Connections: 4})
	}
	return list
}

func newTestPool(list []Member) *Pool {
	pool := NewPool(DefaultConfig("z1"))
	pool.Update(0, list)
	return pool
}

// picks counts what a pool picks while nothing ends.
func picks(pool *Pool, now time.Duration, count int) map[bundle.ServerName]int {
	counted := map[bundle.ServerName]int{}
	for i := range count {
		if name, ok := pool.Pick(now, uint64(i)*7, anyServer); ok {
			counted[name]++
		}
	}
	return counted
}

func TestPicksAreEvenAndNeverPastTheSlots(t *testing.T) {
	pool := newTestPool(members(3))
	counted := picks(pool, 0, 3)
	assert.DeepEqual(t, counted, map[bundle.ServerName]int{"m0": 1, "m1": 1, "m2": 1})
	counted = picks(pool, 0, 100)
	assert.DeepEqual(t, counted, map[bundle.ServerName]int{"m0": 1, "m1": 1, "m2": 1})
}

func TestShareOfConnectionsBoundsTheWork(t *testing.T) {
	list := members(1)
	list[0].Slots, list[0].Connections = 10, 3
	assert.Equal(t, picks(newTestPool(list), 0, 100)["m0"], 3)
}

func TestNearnessDecidesBetweenEqualsOnly(t *testing.T) {
	list := members(2)
	list[0].Zone = "z2"
	pool := newTestPool(list)
	assert.DeepEqual(t, picks(pool, 0, 1), map[bundle.ServerName]int{"m1": 1})
	assert.DeepEqual(t, picks(pool, 0, 1), map[bundle.ServerName]int{"m0": 1})
}

// A back end cannot draw all work by reporting none, nor keep all away.
func TestOwnViewOutvotesReports(t *testing.T) {
	list := members(2)
	list[0].Reported = 1000
	pool := newTestPool(list)
	assert.DeepEqual(t, picks(pool, 0, 4), map[bundle.ServerName]int{"m0": 2, "m1": 2})
}

func TestSlowBackendGetsLess(t *testing.T) {
	pool := newTestPool(members(2))
	for range 10 {
		for _, name := range []bundle.ServerName{"m0", "m1"} {
			assert.Assert(t, pool.Take(0, name))
		}
		pool.Done(0, "m0", ResultAnswered, 100*time.Millisecond)
		pool.Done(0, "m1", ResultAnswered, 5*time.Millisecond)
	}
	assert.DeepEqual(t, picks(pool, 0, 2), map[bundle.ServerName]int{"m1": 2})
	pool = newTestPool(members(2))
	pool.Take(0, "m0")
	pool.Done(0, "m0", ResultAnswered, time.Second)
	assert.Equal(t, len(picks(pool, latencyMemory, 2)), 2, "an old latency counts no more")
}

func TestLostBackendReturnsByAProbeAndSlowly(t *testing.T) {
	pool := newTestPool(members(2))
	assert.Assert(t, pool.Take(0, "m0"))
	pool.Done(0, "m0", ResultUnreachable, 0)
	assert.DeepEqual(t, picks(pool, time.Hour, 2), map[bundle.ServerName]int{"m1": 2})
	_, due := pool.NextProbe(pool.config.EjectBase - 1)
	assert.Assert(t, !due)
	now := pool.config.EjectBase
	name, due := pool.NextProbe(now)
	assert.Assert(t, due)
	assert.Equal(t, name, bundle.ServerName("m0"))
	_, due = pool.NextProbe(now)
	assert.Assert(t, !due, "one probe at a time")
	pool.Probed(now, "m0", false)
	_, due = pool.NextProbe(now + 2*pool.config.EjectBase - 1)
	assert.Assert(t, !due, "the rest doubles")
	pool.Probed(now, "m0", true)
	pool.Done(now, "m1", ResultAnswered, 0)
	assert.DeepEqual(t, picks(pool, now, 1), map[bundle.ServerName]int{"m1": 1})
	pool.Done(now, "m1", ResultAnswered, 0)
	pool.Done(now, "m1", ResultAnswered, 0)
	later := now + pool.config.SlowStart
	assert.DeepEqual(t, picks(pool, later, 2), map[bundle.ServerName]int{"m0": 1, "m1": 1})
}

// Errors of the requests themselves never empty a pool.
func TestServerErrorsEjectHalfAtMost(t *testing.T) {
	pool := newTestPool(members(4))
	for range 10 * serverErrorsToEject {
		for _, member := range members(4) {
			if pool.Take(0, member.Name) {
				pool.Done(0, member.Name, ResultServerError, time.Millisecond)
			}
		}
	}
	assert.Equal(t, len(picks(pool, 0, 4)), 2)
}

// Only an owner can serve its keys: after its rest it gets one request at a time.
func TestEjectedOwnerIsTriedOneByOne(t *testing.T) {
	pool := newTestPool(members(1))
	assert.Assert(t, pool.Take(0, "m0"))
	pool.Done(0, "m0", ResultUnreachable, 0)
	assert.Assert(t, !pool.Take(0, "m0"))
	now := pool.config.EjectBase
	assert.Assert(t, pool.Take(now, "m0"))
	assert.Assert(t, !pool.Take(now, "m0"))
	pool.Done(now, "m0", ResultAnswered, time.Millisecond)
	assert.Assert(t, pool.Take(now, "m0"))
	assert.Assert(t, pool.Take(now, "m0"))
}

func TestDrainingBackendsGetNoWork(t *testing.T) {
	list := members(3)
	list[0].Draining = true
	pool := newTestPool(list)
	pool.Draining(0, "m1")
	assert.DeepEqual(t, picks(pool, 0, 10), map[bundle.ServerName]int{"m2": 2})
	assert.Equal(t, picks(pool, drainMemory, 1)["m1"], 1)
}

// Whatever happens, no back end has more in flight than its slots.
func TestInFlightStaysWithinTheSlots(t *testing.T) {
	results := []Result{ResultAnswered, ResultServerError, ResultTimeout, ResultOvertaken, ResultRefused, ResultUnreachable, ResultNeutral}
	rapid.Check(t, func(t *rapid.T) {
		pool := newTestPool(members(3))
		now := time.Duration(0)
		inFlight := map[bundle.ServerName]int{}
		names := rapid.SampledFrom([]bundle.ServerName{"m0", "m1", "m2"})
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				if name, ok := pool.Pick(now, rapid.Uint64().Draw(t, "random"), anyServer); ok {
					inFlight[name]++
				}
			},
			"take": func(t *rapid.T) {
				if name := names.Draw(t, "owner"); pool.Take(now, name) {
					inFlight[name]++
				}
			},
			"done": func(t *rapid.T) {
				if name := names.Draw(t, "name"); inFlight[name] > 0 {
					inFlight[name]--
					pool.Done(now, name, rapid.SampledFrom(results).Draw(t, "result"), time.Millisecond)
				}
			},
			"probe": func(t *rapid.T) {
				if name, ok := pool.NextProbe(now); ok {
					pool.Probed(now, name, rapid.Bool().Draw(t, "healthy"))
				}
			},
			"wait":   func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond },
			"update": func(*rapid.T) { pool.Update(now, members(3)) },
			"": func(t *rapid.T) {
				for name, count := range inFlight {
					assert.Assert(t, count <= 2)
					assert.Equal(t, pool.InFlight(name), count)
				}
			},
		})
	})
}

func TestLoadThatCameWithAnAnswerCountsForAWhile(t *testing.T) {
	pool := newTestPool(members(2))
	pool.Answered(time.Second, "m0", 2)
	assert.DeepEqual(t, picks(pool, 1100*time.Millisecond, 1), map[bundle.ServerName]int{"m1": 1})
	pool.Done(1200*time.Millisecond, "m1", ResultNeutral, 0)
	later := 2100 * time.Millisecond
	assert.DeepEqual(t, picks(pool, later, 2), map[bundle.ServerName]int{"m0": 1, "m1": 1})
}
