package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTimeoutsLeaveHalfOfThePool(t *testing.T) {
	list := members(4)
	pool := newTestPool(list)
	for range 10 {
		for _, member := range list {
			pool.Take(0, member.Name)
			pool.Done(0, member.Name, ResultTimeout, 0)
		}
	}
	assert.Equal(t, len(picks(pool, 0, 4)), 2)
}

func TestPickStaysAwayLongerFromWhatKeepsRefusing(t *testing.T) {
	pool := newTestPool(members(1))
	avoid := DefaultConfig("z1").AvoidAfterRefusal
	now := time.Duration(0)
	for range 3 {
		now += time.Second
		assert.Assert(t, pool.Take(now, "m0"))
		pool.Done(now, "m0", ResultRefused, 0)
	}
	assert.Equal(t, len(picks(pool, now+3*avoid, 1)), 0)
	assert.Equal(t, len(picks(pool, now+4*avoid, 1)), 1)
	assert.Assert(t, pool.Take(now+avoid, "m0"), "an owner is tried as soon as before")
}

func TestMemberBackFromDrainingStartsSlowly(t *testing.T) {
	list := members(2)
	pool := newTestPool(list)
	list[0].Draining = true
	pool.Update(0, list)
	list[0].Draining = false
	pool.Update(0, list)
	assert.Equal(t, picks(pool, 0, 2)["m1"], 2)
}
