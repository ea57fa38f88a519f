package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// grantDue returns the book's one order that is due.
func grantDue(t *testing.T, book *Ledger, now time.Time) Order {
	t.Helper()
	due := book.Due(now, false)
	assert.Equal(t, len(due), 1)
	return due[0]
}

// Found by the soak of real processes (seed 3): after the leader was paused, or a
// connection broke, orders counted as taken late, and a crashed worker's keys were
// waited for 15 s.
func TestOnlyASilentWorkerMakesOrdersLate(t *testing.T) {
	for after, late := range map[time.Duration]bool{
		10 * time.Millisecond: false, 600 * time.Millisecond: true, 4 * time.Second: false,
	} {
		now := time.Unix(1000, 0)
		book := NewLedger(DefaultConfig(10*time.Second), 1)
		book.Assign(now, InitialOwners(fleet(1, 30), nil))
		book.MarkStored(book.RecordVersion())
		lost := grantDue(t, book, now)
		now = now.Add(after)
		book.HandleReply(now, lost, Reply{Outcome: OutcomeUnanswered})
		now = now.Add(time.Second)
		book.HandleReply(now, grantDue(t, book, now), Reply{Outcome: OutcomeDone})
		assert.Equal(t, book.lateOrders(now), late, "%v", after)
	}
}

func TestAnOutwaitedOwnerIsToldTheNewFence(t *testing.T) {
	now := time.Unix(1000, 0)
	book := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := fleet(2, 30)
	book.Assign(now, InitialOwners(candidates[:1], nil))
	book.MarkStored(book.RecordVersion())
	lost := grantDue(t, book, now)
	book.HandleReply(now, lost, Reply{Outcome: OutcomeUnanswered})
	book.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	book.MarkStored(book.RecordVersion())
	now = now.Add(10 * time.Second) // the hold has surely ended
	due := book.Due(now, false)
	assert.Equal(t, len(due), 2, "the grant to the new owner, and a release to the old one")
	for _, order := range due {
		assert.Equal(t, order.Release, order.Target.ID == candidates[0].ID)
		assert.Assert(t, order.Fence > lost.Fence)
	}
}

// Found by the model: a leader that another had followed raised its fence and tried
// again at once, as fast as workers answer, until its authority ended.
func TestAFencedLeaderPausesBeforeItTriesAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	config := DefaultConfig(10 * time.Second)
	book := NewLedger(config, 1)
	book.Assign(now, InitialOwners(fleet(1, 30), nil))
	book.MarkStored(book.RecordVersion())
	due := book.Due(now, false)
	assert.Equal(t, len(due), 1)
	book.HandleReply(now, due[0], Reply{Outcome: OutcomeFenced})
	assert.Equal(t, len(book.Due(now, false)), 0)
	again := book.Due(now.Add(config.RetryDelay), false)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Fence > due[0].Fence)
}

// Found on a day of Tweede Leven (scale-2): a leader took over from one that was cut off
// and silent, and the keys of workers that crashed after that were waited for until
// all holds of the leader before had ended, 9 s, although the new leader had renewed
// them itself under a fence that the one before could not reach.
func TestAnInheritedHoldEndsWithItsRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	config := DefaultConfig(10 * time.Second)
	candidates := fleet(2, 30)
	before := NewLedger(config, 1)
	before.Assign(now, InitialOwners(candidates[:1], nil))
	value, err := before.Encode(1, "")
	assert.NilError(t, err)
	book := NewLedger(config, 2)
	assert.NilError(t, book.Load(now, value, now.Add(config.RenewalGrace+config.MaxHold())))
	book.MarkStored(book.RecordVersion())
	renewal := grantDue(t, book, now)
	assert.Assert(t, renewal.Fence >= Term(2).FirstFence())
	book.HandleReply(now, renewal, Reply{Outcome: OutcomeDone})
	book.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	book.MarkStored(book.RecordVersion())
	ended := now.Add(config.MaxHold())
	for at := now; at.Before(ended); at = at.Add(100 * time.Millisecond) {
		for _, order := range book.Due(at, false) {
			assert.Assert(t, order.Release, "the old owner may hold them still")
			book.HandleReply(at, order, Reply{Outcome: OutcomeUnreachable})
		}
	}
	given := grantDue(t, book, ended.Add(config.RetryDelay))
	assert.Equal(t, given.Target.ID, candidates[1].ID)
	assert.Assert(t, !given.Release)
}
