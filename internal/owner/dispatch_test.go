package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// grantDue returns the book's one order that is due.
func grantDue(t *testing.T, ledger *Ledger, now time.Time) Order {
	t.Helper()
	due := ledger.Due(now, false)
	assert.Equal(t, len(due), 1)
	return due[0]
}

// Found by the soak of real processes (seed 3): after the leader was paused, or a
// connection broke, orders counted as taken late, and a crashed worker's keys were
// waited for 15 s.
func TestOnlyTimedOutOrdersCountAsDelayed(t *testing.T) {
	for after, late := range map[time.Duration]bool{
		10 * time.Millisecond: false, 600 * time.Millisecond: true, 4 * time.Second: false,
	} {
		now := time.Unix(1000, 0)
		ledger := NewLedger(DefaultConfig(10*time.Second), 1)
		ledger.Assign(now, InitialOwners(equalCandidates(1, 30), nil))
		ledger.MarkStored(ledger.RecordVersion())
		lost := grantDue(t, ledger, now)
		now = now.Add(after)
		ledger.HandleReply(now, lost, Reply{Outcome: OutcomeUnanswered})
		now = now.Add(time.Second)
		ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
		assert.Equal(t, ledger.ordersDelayed(now), late, "%v", after)
	}
}

func TestPreviousOwnerGetsNewFenceAfterHoldExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := equalCandidates(2, 30)
	ledger.Assign(now, InitialOwners(candidates[:1], nil))
	ledger.MarkStored(ledger.RecordVersion())
	lost := grantDue(t, ledger, now)
	ledger.HandleReply(now, lost, Reply{Outcome: OutcomeUnanswered})
	ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	ledger.MarkStored(ledger.RecordVersion())
	now = now.Add(10 * time.Second) // the hold has surely ended
	due := ledger.Due(now, false)
	assert.Equal(t, len(due), 2, "the grant to the new owner, and a release to the old one")
	for _, order := range due {
		assert.Equal(t, order.Release, order.Target.ID == candidates[0].ID)
		assert.Assert(t, order.Fence > lost.Fence)
	}
}

// Found by the model: a leader that another had followed raised its fence and tried
// again at once, as fast as workers answer, until its authority ended.
func TestFencedLeaderDelaysRetry(t *testing.T) {
	now := time.Unix(1000, 0)
	config := DefaultConfig(10 * time.Second)
	ledger := NewLedger(config, 1)
	ledger.Assign(now, InitialOwners(equalCandidates(1, 30), nil))
	ledger.MarkStored(ledger.RecordVersion())
	due := ledger.Due(now, false)
	assert.Equal(t, len(due), 1)
	ledger.HandleReply(now, due[0], Reply{Outcome: OutcomeFenced})
	assert.Equal(t, len(ledger.Due(now, false)), 0)
	again := ledger.Due(now.Add(config.RetryDelay), false)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Fence > due[0].Fence)
}

// Found on a day of Tweede Leven (scale-2): a leader took over from one that was cut off
// and silent, and the keys of workers that crashed after that were waited for until
// all holds of the leader before had ended, 9 s, although the new leader had renewed
// them itself under a fence that the one before could not reach.
func TestRenewalReplacesPreviousLeadersHold(t *testing.T) {
	now := time.Unix(1000, 0)
	config := DefaultConfig(10 * time.Second)
	candidates := equalCandidates(2, 30)
	before := NewLedger(config, 1)
	before.Assign(now, InitialOwners(candidates[:1], nil))
	value, err := before.Encode(1, "")
	assert.NilError(t, err)
	ledger := NewLedger(config, 2)
	assert.NilError(t, ledger.Load(now, value, now.Add(config.RenewalGrace+config.MaxHold())))
	ledger.MarkStored(ledger.RecordVersion())
	renewal := grantDue(t, ledger, now)
	assert.Assert(t, renewal.Fence >= Term(2).FirstFence())
	ledger.HandleReply(now, renewal, Reply{Outcome: OutcomeDone})
	ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	ledger.MarkStored(ledger.RecordVersion())
	ended := now.Add(config.MaxHold())
	for at := now; at.Before(ended); at = at.Add(100 * time.Millisecond) {
		for _, order := range ledger.Due(at, false) {
			assert.Assert(t, order.Release, "the old owner may hold them still")
			ledger.HandleReply(at, order, Reply{Outcome: OutcomeUnreachable})
		}
	}
	given := grantDue(t, ledger, ended.Add(config.RetryDelay))
	assert.Equal(t, given.Target.ID, candidates[1].ID)
	assert.Assert(t, !given.Release)
}
