package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// ledgerWithIncarnations returns a ledger in which the first incarnation of one worker owns all
// keys.
func ledgerWithIncarnations(t *testing.T, now time.Time) (*Ledger, []Candidate) {
	t.Helper()
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := equalCandidates(2, 30)
	for _, candidate := range candidates {
		ledger.ObserveIncarnation(now, workers.Incarnation{ID: candidate.ID, StartTime: 1}, candidate.Address)
	}
	ledger.Assign(now, InitialOwners(candidates[:1], nil))
	ledger.MarkStored(ledger.RecordVersion())
	return ledger, candidates
}

func (l *Ledger) observeRestart(now time.Time, candidate Candidate) bool {
	return l.ObserveIncarnation(now, workers.Incarnation{ID: candidate.ID, StartTime: 2}, candidate.Address)
}

// Guards against a fault: keys granted to the first incarnation counted as held by the second until
// the next renewal, which was sent under the old fence.
func TestRestartedWorkerGetsHigherFence(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := ledgerWithIncarnations(t, now)
	first := grantDue(t, ledger, now)
	ledger.HandleReply(now, first, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !ledger.Assignment()[0].Moving)
	assert.Assert(t, !ledger.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 1}, candidates[0].Address))
	assert.Assert(t, !ledger.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID}, candidates[0].Address), "an announcement without a start time")
	assert.Assert(t, ledger.observeRestart(now, candidates[0]))
	assert.Assert(t, ledger.Assignment()[0].Moving)
	assert.Equal(t, len(ledger.Holds()), 0, "no standby may renew the keys")
	again := grantDue(t, ledger, now)
	assert.Assert(t, again.Fence > first.Fence)
	assert.Equal(t, again.Target.StartTime, workers.StartTime(2))
	ledger.HandleReply(now, again, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !ledger.Assignment()[0].Moving)
}

// A renewal that is in flight while the worker restarts may have been accepted by either
// incarnation.
func TestReplyToPreviousIncarnationIsNotTrusted(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := ledgerWithIncarnations(t, now)
	renewal := grantDue(t, ledger, now)
	assert.Assert(t, ledger.observeRestart(now, candidates[0]))
	ledger.HandleReply(now, renewal, Reply{Outcome: OutcomeDone})
	assert.Assert(t, ledger.Assignment()[0].Moving)
	again := grantDue(t, ledger, now.Add(ledger.config.RetryDelay))
	assert.Assert(t, again.Fence > renewal.Fence)

	ledger.HandleReply(now, again, Reply{Outcome: OutcomeDone})
	ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	ledger.MarkStored(ledger.RecordVersion())
	release := grantDue(t, ledger, now.Add(time.Second))
	assert.Assert(t, release.Release)
	ledger.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 3}, candidates[0].Address)
	ledger.HandleReply(now, release, Reply{Outcome: OutcomeDone})
	assert.Assert(t, grantDue(t, ledger, now.Add(time.Second)).Release, "the third incarnation may have been renewed")
}

// An unanswered grant for the first incarnation may be accepted by the second, which has not seen
// the higher fence under which the keys moved to another worker.
func TestRestartedWorkerGetsFenceOfMovedKeys(t *testing.T) {
	for name, test := range map[string]struct {
		// after is the time from the delayed grant to the restart.
		after     time.Duration
		fenceSent bool
	}{
		"while the grant may be accepted": {after: 8 * time.Second, fenceSent: true},
		"after that":                      {after: 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			ledger, candidates := ledgerWithIncarnations(t, start)
			delayed := grantDue(t, ledger, start)
			ledger.HandleReply(start, delayed, Reply{Outcome: OutcomeUnanswered})
			now := start.Add(ledger.config.RetryDelay)
			ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
			ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
			ledger.MarkStored(ledger.RecordVersion())
			ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
			grant := grantDue(t, ledger, now)
			assert.Equal(t, grant.Target.ID, candidates[1].ID)
			ledger.HandleReply(now, grant, Reply{Outcome: OutcomeDone})

			now = start.Add(test.after)
			_ = ledger.Due(now, false) // a renewal
			assert.Assert(t, ledger.observeRestart(now, candidates[0]))
			due := ledger.Due(now, false)
			assert.Equal(t, len(due) == 1, test.fenceSent)
			if test.fenceSent {
				assert.Assert(t, due[0].Release)
				assert.Equal(t, due[0].Target, Target{ID: candidates[0].ID, Address: candidates[0].Address, StartTime: 2})
				assert.Equal(t, due[0].Fence, grant.Fence)
			}
		})
	}
}

// A worker that could not be reached may have restarted by the time it can, and the leader may be
// notified of that only later.
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

// The first incarnation is known to have ended, since another worker has its address.
func TestRestartedWorkerIsReachedAtNewAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := ledgerWithIncarnations(t, now)
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeOtherWorker})
	assert.Assert(t, ledger.Failing(now, candidates[0].ID, time.Second))
	ledger.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 2}, "elsewhere:1")
	assert.Assert(t, !ledger.Failing(now, candidates[0].ID, time.Second))
	assert.Equal(t, grantDue(t, ledger, now.Add(time.Second)).Target.Address, "elsewhere:1")
	assert.Equal(t, ledger.Assignment()[0].Address, "elsewhere:1")
}

// ledgerOfNextLeader returns the ledger of a leader that has loaded the record of another.
func ledgerOfNextLeader(t *testing.T, now time.Time, previous *Ledger) *Ledger {
	t.Helper()
	record, err := previous.Encode(1, "w")
	assert.NilError(t, err)
	next := NewLedger(previous.config, 2)
	assert.NilError(t, next.Load(now, record, now.Add(previous.config.MaxHold())))
	return next
}

// A new leader took a worker that had restarted at another address for ended, since another worker answered
// at the address of its record, and passed on keys that the worker held.
func TestNextLeaderReachesRestartedWorkerAtNewAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	previous, candidates := ledgerWithIncarnations(t, now)
	ledger := ledgerOfNextLeader(t, now, previous)
	id := candidates[0].ID
	early := grantDue(t, ledger, now)
	ledger.ObserveIncarnation(now, workers.Incarnation{ID: id, StartTime: 2}, "elsewhere:1")
	ledger.HandleReply(now, early, Reply{Outcome: OutcomeOtherWorker})
	assert.Assert(t, !ledger.Failing(now, id, time.Second))
	now = now.Add(time.Second)
	grant := grantDue(t, ledger, now)
	assert.Equal(t, grant.Target, Target{ID: id, Address: "elsewhere:1", StartTime: 2})
	ledger.HandleReply(now, grant, Reply{Outcome: OutcomeDone})
	assert.Equal(t, ledger.Assignment()[0], Owner{Keys: grant.Keys, Worker: id, Address: "elsewhere:1"})
}

// The entry that a new leader has read may be older than the record. The worker then still lives at the
// address of the record, although another one answers at that of the entry.
func TestWorkerIsNotEndedWhileItsAddressIsDisputed(t *testing.T) {
	now := time.Unix(1000, 0)
	previous, candidates := ledgerWithIncarnations(t, now)
	ledger := ledgerOfNextLeader(t, now, previous)
	id := candidates[0].ID
	ledger.ObserveIncarnation(now, workers.Incarnation{ID: id, StartTime: 2}, "elsewhere:1")
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeOtherWorker})
	assert.Assert(t, !ledger.Failing(now, id, time.Second))
	ledger.ObserveIncarnation(now, workers.Incarnation{ID: id, StartTime: 3}, candidates[0].Address)
	now = now.Add(time.Second)
	grant := grantDue(t, ledger, now)
	assert.Equal(t, grant.Target.Address, candidates[0].Address)
	ledger.HandleReply(now, grant, Reply{Outcome: OutcomeDone})
	now = now.Add(time.Second)
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeOtherWorker})
	assert.Assert(t, ledger.Failing(now, id, time.Second), "the address is the worker's: it has ended")
}

// The record kept the former address of a restarted worker until a move of keys was stored.
func TestNewAddressOfRestartedWorkerIsStored(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := ledgerWithIncarnations(t, now)
	version := ledger.RecordVersion()
	ledger.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 2}, candidates[0].Address)
	assert.Equal(t, ledger.RecordVersion(), version, "the same address")
	ledger.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 3}, "elsewhere:1")
	assert.Assert(t, ledger.RecordVersion() > version)
	next := ledgerOfNextLeader(t, now, ledger)
	assert.Equal(t, next.Assignment()[0].Address, "elsewhere:1")
}

func TestStandbyDoesNotRenewOtherIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		held, announced workers.StartTime
		renews          bool
	}{
		"the same incarnation":              {held: 1, announced: 1, renews: true},
		"a later incarnation":               {held: 1, announced: 2},
		"the leader knows a later one":      {held: 2, announced: 1},
		"the worker reports no incarnation": {renews: true},
		"the leader does not know":          {announced: 1, renews: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			standby := NewStandby(DefaultConfig(10 * time.Second))
			hold := Hold{Keys: KeyRange{0, 9}, Target: Target{ID: "w", Address: "a", StartTime: test.held}, Fence: 7}
			standby.SetHolds(1, 1, []Hold{hold}, now.Add(time.Minute))
			standby.LeaderLost()
			standby.ObserveIncarnation(workers.Incarnation{ID: "w", StartTime: test.announced})
			assert.Equal(t, len(standby.Due(now)) == 1, test.renews)
		})
	}
}
