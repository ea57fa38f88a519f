package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ask counts requests for a key, evenly, for some time, and returns its end.
func ask(loads *Loads, from time.Time, length time.Duration, key int, perSecond float64) time.Time {
	const step = 200 * time.Millisecond
	due := 0.0
	at := from
	for ; at.Sub(from) < length; at = at.Add(step) {
		due += perSecond * step.Seconds()
		loads.Add(at, map[int]int{key: int(due)})
		due -= float64(int(due))
	}
	return at
}

func rateOf(loads *Loads, now time.Time, key int) float64 {
	for _, one := range loads.Rates(now) {
		if one.Key == key {
			return one.Rate
		}
	}
	return 0
}

func TestLoadsFollowASuddenChangeWithinASecond(t *testing.T) {
	start := time.Unix(1000, 0)
	loads := NewLoads(start)
	now := ask(loads, start, 10*time.Second, 7, 2)
	calm := rateOf(loads, now, 7)
	assert.Assert(t, calm > 1 && calm < 3, "%f", calm)
	now = ask(loads, now, 800*time.Millisecond, 7, 50)
	busy := rateOf(loads, now, 7)
	assert.Assert(t, busy > 30, "%f", busy)
	now = ask(loads, now, 3*time.Second, 7, 2)
	assert.Assert(t, rateOf(loads, now, 7) < 20, "%f", rateOf(loads, now, 7))
}

func TestLoadsForgetKeysThatNobodyAsksFor(t *testing.T) {
	start := time.Unix(1000, 0)
	loads := NewLoads(start)
	now := ask(loads, start, 2*time.Second, 7, 5)
	assert.Equal(t, len(loads.Rates(now.Add(time.Minute))), 0)
}

// Found in an incident of Tawila: a new leader, which knew a few requests only,
// planned 66 moves in its first four seconds.
func TestNewLeaderDoesNotMoveKeysByWhatItHardlyKnows(t *testing.T) {
	start := time.Unix(1000, 0)
	loads := NewLoads(start)
	candidates := fleet(4, 30)
	book := NewLedger(DefaultConfig(10*time.Second), 1)
	book.Assign(start, InitialOwners(candidates, nil))
	settle(book, start)
	now := ask(loads, start, time.Second, 7, 40)
	rules := Rules{Balance: loads.Ready(now), MaxMoves: maxMoves}
	assert.Equal(t, len(book.Plan(candidates, loads.Rates(now), rules)), 0)
	moved := book.Plan(candidates[1:], loads.Rates(now), rules)
	assert.Assert(t, len(moved) > 0, "a lost worker's keys move at once")
	for _, one := range moved {
		assert.Assert(t, one.Forced)
	}
	assert.Assert(t, loads.Ready(start.Add(settleTime)))
}
