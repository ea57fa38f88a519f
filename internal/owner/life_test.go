package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// bornBook returns a book of one owner that holds all keys in its first life.
func bornBook(t *testing.T, now time.Time) (*Ledger, []Candidate) {
	t.Helper()
	book := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := fleet(2, 30)
	for _, one := range candidates {
		book.ObserveIncarnation(now, workers.Incarnation{ID: one.ID, StartTime: 1}, one.Address)
	}
	book.Assign(now, InitialOwners(candidates[:1], nil))
	book.MarkStored(book.RecordVersion())
	return book, candidates
}

func (b *Ledger) beganAgain(now time.Time, one Candidate) bool {
	return b.ObserveIncarnation(now, workers.Incarnation{ID: one.ID, StartTime: 2}, one.Address)
}

// Keys that were granted to the first life were believed to be held by the second until the next
// renewal, which gave them to it under the fence of before.
func TestAnotherLifeGetsItsKeysUnderAHigherFence(t *testing.T) {
	now := time.Unix(1000, 0)
	book, candidates := bornBook(t, now)
	first := grantDue(t, book, now)
	book.HandleReply(now, first, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !book.Assignment()[0].Moving)
	assert.Assert(t, !book.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 1}, candidates[0].Address))
	assert.Assert(t, !book.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID}, candidates[0].Address), "it says nothing of its start")
	assert.Assert(t, book.beganAgain(now, candidates[0]))
	assert.Assert(t, book.Assignment()[0].Moving)
	assert.Equal(t, len(book.Holds()), 0, "no standby may renew them")
	again := grantDue(t, book, now)
	assert.Assert(t, again.Fence > first.Fence)
	assert.Equal(t, again.Target.Incarnation, workers.StartTime(2))
	book.HandleReply(now, again, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !book.Assignment()[0].Moving)
}

// A renewal that was under way as the worker started again may have been taken by either life.
func TestAnAnswerToTheLifeBeforeProvesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	book, candidates := bornBook(t, now)
	under := grantDue(t, book, now)
	assert.Assert(t, book.beganAgain(now, candidates[0]))
	book.HandleReply(now, under, Reply{Outcome: OutcomeDone})
	assert.Assert(t, book.Assignment()[0].Moving)
	again := grantDue(t, book, now.Add(book.config.RetryDelay))
	assert.Assert(t, again.Fence > under.Fence)

	book.HandleReply(now, again, Reply{Outcome: OutcomeDone})
	book.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	book.MarkStored(book.RecordVersion())
	release := grantDue(t, book, now.Add(time.Second))
	assert.Assert(t, release.Release)
	book.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 3}, candidates[0].Address)
	book.HandleReply(now, release, Reply{Outcome: OutcomeDone})
	assert.Assert(t, grantDue(t, book, now.Add(time.Second)).Release, "the third life may have been renewed")
}

// A grant without an answer, meant for the first life, may be taken by the second, which has not
// seen the higher fence under which the keys went to another worker.
func TestAnotherLifeIsToldTheFenceOfKeysThatWentOn(t *testing.T) {
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
			book, candidates := bornBook(t, start)
			late := grantDue(t, book, start)
			book.HandleReply(start, late, Reply{Outcome: OutcomeUnanswered})
			now := start.Add(book.config.RetryDelay)
			book.HandleReply(now, grantDue(t, book, now), Reply{Outcome: OutcomeDone})
			book.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
			book.MarkStored(book.RecordVersion())
			book.HandleReply(now, grantDue(t, book, now), Reply{Outcome: OutcomeDone})
			given := grantDue(t, book, now)
			assert.Equal(t, given.Target.ID, candidates[1].ID)
			book.HandleReply(now, given, Reply{Outcome: OutcomeDone})

			now = start.Add(test.after)
			_ = book.Due(now, false) // a renewal
			assert.Assert(t, book.beganAgain(now, candidates[0]))
			due := book.Due(now, false)
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
func TestAWorkerThatWasNotReachedGetsAHigherFence(t *testing.T) {
	now := time.Unix(1000, 0)
	book, _ := bornBook(t, now)
	first := grantDue(t, book, now)
	book.HandleReply(now, first, Reply{Outcome: OutcomeDone})
	now = now.Add(book.config.RenewInterval)
	var raised Fence
	for range 3 {
		failed := grantDue(t, book, now)
		book.HandleReply(now, failed, Reply{Outcome: OutcomeUnreachable})
		now = now.Add(book.config.RetryDelay)
		if failed.Fence > first.Fence {
			assert.Assert(t, raised == 0 || raised == failed.Fence, "once is enough")
			raised = failed.Fence
		}
	}
	assert.Assert(t, raised > first.Fence)
}

// Another worker had the address of the first life, which so was known to have ended.
func TestAnotherLifeOfAnEndedWorkerIsGivenKeysWhereItIs(t *testing.T) {
	now := time.Unix(1000, 0)
	book, candidates := bornBook(t, now)
	book.HandleReply(now, grantDue(t, book, now), Reply{Outcome: OutcomeOtherWorker})
	assert.Assert(t, book.Failing(now, candidates[0].ID, time.Second))
	book.ObserveIncarnation(now, workers.Incarnation{ID: candidates[0].ID, StartTime: 2}, "elsewhere:1")
	assert.Assert(t, !book.Failing(now, candidates[0].ID, time.Second))
	assert.Equal(t, grantDue(t, book, now.Add(time.Second)).Target.Address, "elsewhere:1")
	assert.Equal(t, book.Assignment()[0].Address, "elsewhere:1")
}

func TestAStandbyRenewsNothingOfAnotherLife(t *testing.T) {
	for name, test := range map[string]struct {
		told, announced workers.StartTime
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
			standby.ObserveIncarnation(workers.Incarnation{ID: "w", StartTime: test.announced})
			assert.Equal(t, len(standby.Due(now)) == 1, test.renews)
		})
	}
}
