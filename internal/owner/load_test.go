package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countRequests adds evenly distributed requests for a key over some time, and returns the end of
// that time.
func countRequests(loads *Loads, from time.Time, length time.Duration, key int, perSecond float64) time.Time {
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
	for _, load := range loads.Rates(now) {
		if load.Key == key {
			return load.Rate
		}
	}
	return 0
}

func TestLoadsFollowASuddenChangeWithinASecond(t *testing.T) {
	start := time.Unix(1000, 0)
	loads := NewLoads(start)
	now := countRequests(loads, start, 10*time.Second, 7, 2)
	calm := rateOf(loads, now, 7)
	assert.Assert(t, calm > 1 && calm < 3, "%f", calm)
	now = countRequests(loads, now, 800*time.Millisecond, 7, 50)
	busy := rateOf(loads, now, 7)
	assert.Assert(t, busy > 30, "%f", busy)
	now = countRequests(loads, now, 3*time.Second, 7, 2)
	assert.Assert(t, rateOf(loads, now, 7) < 20, "%f", rateOf(loads, now, 7))
}

func TestLoadsForgetIdleKeys(t *testing.T) {
	start := time.Unix(1000, 0)
	loads := NewLoads(start)
	now := countRequests(loads, start, 2*time.Second, 7, 5)
	assert.Equal(t, len(loads.Rates(now.Add(time.Minute))), 0)
}

// Guards against a fault seen in an incident of the deployment Tawila: a new leader that knew only
// a few requests planned 66 moves in its first four seconds.
func TestNewLeaderDoesNotBalanceBeforeLoadsAreReady(t *testing.T) {
	start := time.Unix(1000, 0)
	loads := NewLoads(start)
	candidates := equalCandidates(4, 30)
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	ledger.Assign(start, InitialOwners(candidates, nil))
	answerAllOrders(ledger, start)
	now := countRequests(loads, start, time.Second, 7, 40)
	rules := Rules{Balance: loads.Ready(now), MaxMoves: maxMovesPerRound}
	assert.Equal(t, len(ledger.Plan(candidates, loads.Rates(now), rules)), 0)
	moved := ledger.Plan(candidates[1:], loads.Rates(now), rules)
	assert.Assert(t, len(moved) > 0, "a lost worker's keys move at once")
	for _, move := range moved {
		assert.Assert(t, move.Forced)
	}
	assert.Assert(t, loads.Ready(start.Add(warmupTime)))
}
