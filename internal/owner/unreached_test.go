package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Found by the soak of real processes (seeds 436, 514, 522, 561, 579): keys were given to a
// worker that had crashed before any grant reached it, and given on. They waited until a lost
// standby could no longer renew what it was never told of, and a hold; or, under a leader that
// was elected in between, until all holds of the leader before had surely ended.

// unreached returns a book whose first owner no grant has reached, with its keys given on.
func unreached(t *testing.T, now time.Time, outcomes ...Outcome) (*Ledger, []Candidate) {
	t.Helper()
	book := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := fleet(2, 30)
	book.Assign(now, InitialOwners(candidates[:1], nil))
	book.MarkStored(book.RecordVersion())
	for _, outcome := range outcomes {
		book.HandleReply(now, grantDue(t, book, now), Reply{Outcome: outcome})
		now = now.Add(book.config.RetryDelay)
	}
	book.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	return book, candidates
}

func TestAnOwnerThatNoGrantReachedIsNotWaitedFor(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []Outcome
		waited   bool
	}{
		"never sent":           {},
		"no connection":        {outcomes: []Outcome{OutcomeUnreachable, OutcomeUnreachable}},
		"no answer":            {outcomes: []Outcome{OutcomeUnanswered}, waited: true},
		"no answer at first":   {outcomes: []Outcome{OutcomeUnanswered, OutcomeUnreachable}, waited: true},
		"taken, then no more":  {outcomes: []Outcome{OutcomeDone}, waited: true},
		"a connection at last": {outcomes: []Outcome{OutcomeUnreachable, OutcomeUnanswered}, waited: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			book, candidates := unreached(t, now, test.outcomes...)
			book.SetDelegations([]Delegation{{Until: now.Add(6 * time.Second)}}) // it has heard of no holds
			book.MarkStored(book.RecordVersion())
			due := book.Due(now.Add(time.Second), false)
			assert.Equal(t, len(due), 1)
			assert.Equal(t, due[0].Release, test.waited)
			if !test.waited {
				assert.Equal(t, due[0].Target.ID, candidates[1].ID)
			}
		})
	}
}

func TestTheNextLeaderDoesNotWaitForAnOwnerThatNoGrantReached(t *testing.T) {
	for name, test := range map[string]struct {
		outcome Outcome
		waited  bool
	}{
		"no connection": {outcome: OutcomeUnreachable},
		"no answer":     {outcome: OutcomeUnanswered, waited: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			before, candidates := unreached(t, now, test.outcome)
			value, err := before.Encode(1, "")
			assert.NilError(t, err)
			next := NewLedger(before.config, 2)
			assert.NilError(t, next.Load(now, value, now.Add(9*time.Second)))
			next.MarkStored(next.RecordVersion())
			due := grantDue(t, next, now)
			assert.Equal(t, due.Release, test.waited)
			assert.Equal(t, due.Target.ID == candidates[1].ID, !test.waited)
		})
	}
}

// While the record says that the first owner never had the keys, it gets no grant.
func TestAnOwnerThatTheRecordLeavesOutGetsNoGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	book, _ := unreached(t, now, OutcomeUnreachable)
	assert.Equal(t, len(book.Due(now.Add(time.Second), false)), 0)
}

// A worker that gets its former keys back, and is not reached, may still take a grant of before.
func TestAGrantInDoubtOutlivesAReturnOfTheKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	book, candidates := unreached(t, now, OutcomeUnanswered)
	book.MarkStored(book.RecordVersion())
	due := grantDue(t, book, now)
	assert.Assert(t, due.Release)
	book.HandleReply(now, due, Reply{Outcome: OutcomeUnreachable})
	book.Move(KeyRange{0, KeyCount - 1}, candidates[0].ID, candidates[0].Address)
	book.MarkStored(book.RecordVersion())
	now = now.Add(time.Second)
	book.HandleReply(now, grantDue(t, book, now), Reply{Outcome: OutcomeUnreachable})
	book.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	book.MarkStored(book.RecordVersion())
	now = now.Add(5 * time.Second) // the first hold has surely ended
	orders := map[bool]Order{}
	for _, order := range book.Due(now, false) {
		orders[order.Release] = order
	}
	assert.Equal(t, len(orders), 2, "the grant to the new owner, and the new fence to the old one")
	assert.Equal(t, orders[true].Target.ID, candidates[0].ID)
}

// A worker that got some of its former keys back was no longer told the new fence of the others.
func TestADoubtStaysForTheKeysThatDoNotReturn(t *testing.T) {
	for name, test := range map[string]struct {
		back KeyRange
		left []KeyRange
	}{
		"inside":     {back: KeyRange{10, 20}, left: []KeyRange{{0, 9}, {21, 100}}},
		"first keys": {back: KeyRange{0, 20}, left: []KeyRange{{21, 100}}},
		"last keys":  {back: KeyRange{90, 200}, left: []KeyRange{{0, 89}}},
		"all":        {back: KeyRange{0, 100}},
		"others":     {back: KeyRange{101, 200}, left: []KeyRange{{0, 100}}},
	} {
		t.Run(name, func(t *testing.T) {
			until := time.Unix(1000, 0)
			book := NewLedger(DefaultConfig(10*time.Second), 1)
			book.doubts = []*doubt{{worker: "w", keys: KeyRange{0, 100}, fence: 7, until: until, told: true}}
			book.dropDoubts("w", test.back)
			var left []KeyRange
			for _, one := range book.doubts {
				assert.Assert(t, one.fence == 7 && one.until.Equal(until) && one.told)
				left = append(left, one.keys)
			}
			assert.DeepEqual(t, left, test.left)
		})
	}
}
