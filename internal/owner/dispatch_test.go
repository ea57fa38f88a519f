package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// grantDue returns the ledger's only due order.
func grantDue(t *testing.T, ledger *Ledger, now time.Time) Order {
	t.Helper()
	due := ledger.Due(now, false)
	assert.Equal(t, len(due), 1)
	return due[0]
}

// Guards against a fault seen in a soak test of real processes (seed 3): after the leader was
// paused or a connection broke, orders counted as delayed, and the keys of a crashed worker were
// unavailable for 15 s.
func TestOnlyTimedOutOrdersCountAsDelayed(t *testing.T) {
	for after, delayed := range map[time.Duration]bool{
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
		assert.Equal(t, ledger.ordersDelayed(now), delayed, "%v", after)
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
	now = now.Add(10 * time.Second) // the hold has certainly ended
	due := ledger.Due(now, false)
	assert.Equal(t, len(due), 2, "the grant to the new owner, and a release to the old one")
	for _, order := range due {
		assert.Equal(t, order.Release, order.Target.ID == candidates[0].ID)
		assert.Assert(t, order.Fence > lost.Fence)
	}
}

// Guards against a fault found by the model: a leader that had been succeeded by another raised its
// fence and retried at once, as fast as workers replied, until its authority ended.
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

// Guards against a fault seen on a test day of the deployment Tweede Leven (scale-2): a leader took
// over from one that was partitioned and did not respond. The keys of workers that crashed after
// that were unavailable until all holds of the previous leader had ended, 9 s later, although the
// new leader had renewed them itself under a fence that the previous leader could not reach.
func TestRenewalReplacesPreviousLeadersHold(t *testing.T) {
	now := time.Unix(1000, 0)
	config := DefaultConfig(10 * time.Second)
	candidates := equalCandidates(2, 30)
	previous := NewLedger(config, 1)
	previous.Assign(now, InitialOwners(candidates[:1], nil))
	value, err := previous.Encode(1, "")
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
			assert.Assert(t, order.Release, "the old owner may still hold the keys")
			ledger.HandleReply(at, order, Reply{Outcome: OutcomeUnreachable})
		}
	}
	grant := grantDue(t, ledger, ended.Add(config.RetryDelay))
	assert.Equal(t, grant.Target.ID, candidates[1].ID)
	assert.Assert(t, !grant.Release)
}
