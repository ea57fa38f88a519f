package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// ledgerWithIncarnations returns a book of one owner that holds all keys in its first life.
func ledgerWithIncarnations(t *testing.T, now time.Time) (*Ledger, []Candidate) {
	t.Helper()
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := equalCandidates(2, 30)
	for _, one := range candidates {
		ledger.ObserveIncarnation(now, workers.Life{ID: one.ID, Born: 1}, one.Address)
	}
	ledger.Assign(now, InitialOwners(candidates[:1], nil))
	ledger.MarkStored(ledger.RecordVersion())
	return ledger, candidates
}

func (b *Ledger) observeRestart(now time.Time, one Candidate) bool {
	return b.ObserveIncarnation(now, workers.Life{ID: one.ID, Born: 2}, one.Address)
}

// Keys that were granted to the first life were believed to be held by the second until the next
// renewal, which gave them to it under the fence of before.
func TestRestartedWorkerGetsHigherFence(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := ledgerWithIncarnations(t, now)
	first := grantDue(t, ledger, now)
	ledger.HandleReply(now, first, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !ledger.Assignment()[0].Moving)
	assert.Assert(t, !ledger.ObserveIncarnation(now, workers.Life{ID: candidates[0].ID, Born: 1}, candidates[0].Address))
	assert.Assert(t, !ledger.ObserveIncarnation(now, workers.Life{ID: candidates[0].ID}, candidates[0].Address), "it says nothing of its start")
	assert.Assert(t, ledger.observeRestart(now, candidates[0]))
	assert.Assert(t, ledger.Assignment()[0].Moving)
	assert.Equal(t, len(ledger.Holds()), 0, "no standby may renew them")
	again := grantDue(t, ledger, now)
	assert.Assert(t, again.Fence > first.Fence)
	assert.Equal(t, again.Target.Incarnation, workers.Born(2))
	ledger.HandleReply(now, again, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !ledger.Assignment()[0].Moving)
}

// A renewal that was under way as the worker started again may have been taken by either life.
func TestReplyToPreviousIncarnationIsNotTrusted(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := ledgerWithIncarnations(t, now)
	under := grantDue(t, ledger, now)
	assert.Assert(t, ledger.observeRestart(now, candidates[0]))
	ledger.HandleReply(now, under, Reply{Outcome: OutcomeDone})
	assert.Assert(t, ledger.Assignment()[0].Moving)
	again := grantDue(t, ledger, now.Add(ledger.config.RetryDelay))
	assert.Assert(t, again.Fence > under.Fence)

	ledger.HandleReply(now, again, Reply{Outcome: OutcomeDone})
	ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	ledger.MarkStored(ledger.RecordVersion())
	release := grantDue(t, ledger, now.Add(time.Second))
	assert.Assert(t, release.Release)
	ledger.ObserveIncarnation(now, workers.Life{ID: candidates[0].ID, Born: 3}, candidates[0].Address)
	ledger.HandleReply(now, release, Reply{Outcome: OutcomeDone})
	assert.Assert(t, grantDue(t, ledger, now.Add(time.Second)).Release, "the third life may have been renewed")
}

// A grant without an answer, meant for the first life, may be taken by the second, which has not
// seen the higher fence under which the keys went to another worker.
func TestRestartedWorkerGetsFenceOfMovedKeys(t *testing.T) {
	for name, test := range map[string]struct {
		// after is when the worker starts again, since its late grant.
		after time.Duration
		told  bool
	}{
		"while the grant may be taken": {after: 8 * time.Second, told: true},
		"after that":                   {after: 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			ledger, candidates := ledgerWithIncarnations(t, start)
			late := grantDue(t, ledger, start)
			ledger.HandleReply(start, late, Reply{Outcome: OutcomeUnanswered})
			now := start.Add(ledger.config.RetryDelay)
			ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
			ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
			ledger.MarkStored(ledger.RecordVersion())
			ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
			given := grantDue(t, ledger, now)
			assert.Equal(t, given.Target.ID, candidates[1].ID)
			ledger.HandleReply(now, given, Reply{Outcome: OutcomeDone})

			now = start.Add(test.after)
			_ = ledger.Due(now, false) // a renewal
			assert.Assert(t, ledger.observeRestart(now, candidates[0]))
			due := ledger.Due(now, false)
			assert.Equal(t, len(due) == 1, test.told)
			if test.told {
				assert.Assert(t, due[0].Release)
				assert.Equal(t, due[0].Target, Target{ID: candidates[0].ID, Address: candidates[0].Address, Incarnation: 2})
				assert.Equal(t, due[0].Fence, given.Fence)
			}
		})
	}
}

// A worker that was not reached may have started again by the time it is: the leader may hear of
// that later.
func TestUnreachableWorkerGetsHigherFence(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, _ := ledgerWithIncarnations(t, now)
	first := grantDue(t, ledger, now)
	ledger.HandleReply(now, first, Reply{Outcome: OutcomeDone})
	now = now.Add(ledger.config.RenewInterval)
	var raised Fence
	for range 3 {
		failed := grantDue(t, ledger, now)
		ledger.HandleReply(now, failed, Reply{Outcome: OutcomeUnreachable})
		now = now.Add(ledger.config.RetryDelay)
		if failed.Fence > first.Fence {
			assert.Assert(t, raised == 0 || raised == failed.Fence, "once is enough")
			raised = failed.Fence
		}
	}
	assert.Assert(t, raised > first.Fence)
}

// Another worker had the address of the first life, which so was known to have ended.
func TestRestartedWorkerIsReachedAtNewAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := ledgerWithIncarnations(t, now)
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeOtherWorker})
	assert.Assert(t, ledger.Failing(now, candidates[0].ID, time.Second))
	ledger.ObserveIncarnation(now, workers.Life{ID: candidates[0].ID, Born: 2}, "elsewhere:1")
	assert.Assert(t, !ledger.Failing(now, candidates[0].ID, time.Second))
	assert.Equal(t, grantDue(t, ledger, now.Add(time.Second)).Target.Address, "elsewhere:1")
	assert.Equal(t, ledger.Assignment()[0].Address, "elsewhere:1")
}

func TestStandbyDoesNotRenewOtherIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		told, announced workers.Born
		renews          bool
	}{
		"the same life":               {told: 1, announced: 1, renews: true},
		"a later life":                {told: 1, announced: 2},
		"the leader knows a later":    {told: 2, announced: 1},
		"the worker tells of no life": {renews: true},
		"the leader does not know":    {announced: 1, renews: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			standby := NewStandby(DefaultConfig(10 * time.Second))
			hold := Hold{Keys: KeyRange{0, 9}, Target: Target{ID: "w", Address: "a", Incarnation: test.told}, Fence: 7}
			standby.SetHolds(1, 1, []Hold{hold}, now.Add(time.Minute))
			standby.LeaderLost()
			standby.ObserveIncarnation(workers.Life{ID: "w", Born: test.announced})
			assert.Equal(t, len(standby.Due(now)) == 1, test.renews)
		})
	}
}
