package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// bornBook returns a book of one owner that holds all keys in its first life.
func bornBook(t *testing.T, now time.Time) (*Book, []Candidate) {
	t.Helper()
	book := NewBook(DefaultConfig(10*time.Second), 1)
	candidates := fleet(2, 30)
	for _, one := range candidates {
		book.Began(now, workers.Life{ID: one.ID, Born: 1}, one.Address)
	}
	book.Assign(now, First(candidates[:1], nil))
	book.Stored(book.Change())
	return book, candidates
}

func (b *Book) beganAgain(now time.Time, one Candidate) bool {
	return b.Began(now, workers.Life{ID: one.ID, Born: 2}, one.Address)
}

// Keys that were granted to the first life were believed to be held by the second until the next
// renewal, which gave them to it under the fence of before.
func TestAnotherLifeGetsItsKeysUnderAHigherFence(t *testing.T) {
	now := time.Unix(1000, 0)
	book, candidates := bornBook(t, now)
	first := grantDue(t, book, now)
	book.Answered(now, first, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !book.Assignment()[0].Moving)
	assert.Assert(t, !book.Began(now, workers.Life{ID: candidates[0].ID, Born: 1}, candidates[0].Address))
	assert.Assert(t, !book.Began(now, workers.Life{ID: candidates[0].ID}, candidates[0].Address), "it says nothing of its start")
	assert.Assert(t, book.beganAgain(now, candidates[0]))
	assert.Assert(t, book.Assignment()[0].Moving)
	assert.Equal(t, len(book.Holds()), 0, "no standby may renew them")
	again := grantDue(t, book, now)
	assert.Assert(t, again.Fence > first.Fence)
	assert.Equal(t, again.Target.Born, workers.Born(2))
	book.Answered(now, again, Reply{Outcome: OutcomeDone})
	assert.Assert(t, !book.Assignment()[0].Moving)
}

// A renewal that was under way as the worker started again may have been taken by either life.
func TestAnAnswerToTheLifeBeforeProvesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	book, candidates := bornBook(t, now)
	under := grantDue(t, book, now)
	assert.Assert(t, book.beganAgain(now, candidates[0]))
	book.Answered(now, under, Reply{Outcome: OutcomeDone})
	assert.Assert(t, book.Assignment()[0].Moving)
	again := grantDue(t, book, now.Add(book.config.RetryOrder))
	assert.Assert(t, again.Fence > under.Fence)

	book.Answered(now, again, Reply{Outcome: OutcomeDone})
	book.Move(Keys{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	book.Stored(book.Change())
	release := grantDue(t, book, now.Add(time.Second))
	assert.Assert(t, release.Release)
	book.Began(now, workers.Life{ID: candidates[0].ID, Born: 3}, candidates[0].Address)
	book.Answered(now, release, Reply{Outcome: OutcomeDone})
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
			book.Answered(start, late, Reply{Outcome: OutcomeUnanswered})
			now := start.Add(book.config.RetryOrder)
			book.Answered(now, grantDue(t, book, now), Reply{Outcome: OutcomeDone})
			book.Move(Keys{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
			book.Stored(book.Change())
			book.Answered(now, grantDue(t, book, now), Reply{Outcome: OutcomeDone})
			given := grantDue(t, book, now)
			assert.Equal(t, given.Target.ID, candidates[1].ID)
			book.Answered(now, given, Reply{Outcome: OutcomeDone})

			now = start.Add(test.after)
			_ = book.Due(now, false) // a renewal
			assert.Assert(t, book.beganAgain(now, candidates[0]))
			due := book.Due(now, false)
			assert.Equal(t, len(due) == 1, test.told)
			if test.told {
				assert.Assert(t, due[0].Release)
				assert.Equal(t, due[0].Target, Target{ID: candidates[0].ID, Address: candidates[0].Address, Born: 2})
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
	book.Answered(now, first, Reply{Outcome: OutcomeDone})
	now = now.Add(book.config.Renew)
	var raised Fence
	for range 3 {
		failed := grantDue(t, book, now)
		book.Answered(now, failed, Reply{Outcome: OutcomeUnreachable})
		now = now.Add(book.config.RetryOrder)
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
	book.Answered(now, grantDue(t, book, now), Reply{Outcome: OutcomeOther})
	assert.Assert(t, book.Failing(now, candidates[0].ID, time.Second))
	book.Began(now, workers.Life{ID: candidates[0].ID, Born: 2}, "elsewhere:1")
	assert.Assert(t, !book.Failing(now, candidates[0].ID, time.Second))
	assert.Equal(t, grantDue(t, book, now.Add(time.Second)).Target.Address, "elsewhere:1")
	assert.Equal(t, book.Assignment()[0].Address, "elsewhere:1")
}

func TestAStandbyRenewsNothingOfAnotherLife(t *testing.T) {
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
			hold := Hold{Keys: Keys{0, 9}, Target: Target{ID: "w", Address: "a", Born: test.told}, Fence: 7}
			standby.Tell(1, 1, []Hold{hold}, now.Add(time.Minute))
			standby.Lost()
			standby.Began(workers.Life{ID: "w", Born: test.announced})
			assert.Equal(t, len(standby.Due(now)) == 1, test.renews)
		})
	}
}
