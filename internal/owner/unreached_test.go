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
func unreached(t *testing.T, now time.Time, outcomes ...Outcome) (*Book, []Candidate) {
	t.Helper()
	book := NewBook(DefaultConfig(10*time.Second), 1)
	candidates := fleet(2, 30)
	book.Assign(now, First(candidates[:1], nil))
	book.Stored(book.Change())
	for _, outcome := range outcomes {
		book.Answered(now, grantDue(t, book, now), Reply{Outcome: outcome})
		now = now.Add(book.config.RetryOrder)
	}
	book.Move(Keys{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
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
			book.SetMandates([]Mandate{{Until: now.Add(6 * time.Second)}}) // it has heard of no holds
			book.Stored(book.Change())
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
			next := NewBook(before.config, 2)
			assert.NilError(t, next.Load(now, value, now.Add(9*time.Second)))
			next.Stored(next.Change())
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
	book.Stored(book.Change())
	due := grantDue(t, book, now)
	assert.Assert(t, due.Release)
	book.Answered(now, due, Reply{Outcome: OutcomeUnreachable})
	book.Move(Keys{0, KeyCount - 1}, candidates[0].ID, candidates[0].Address)
	book.Stored(book.Change())
	now = now.Add(time.Second)
	book.Answered(now, grantDue(t, book, now), Reply{Outcome: OutcomeUnreachable})
	book.Move(Keys{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	book.Stored(book.Change())
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
		back Keys
		left []Keys
	}{
		"inside":     {back: Keys{10, 20}, left: []Keys{{0, 9}, {21, 100}}},
		"first keys": {back: Keys{0, 20}, left: []Keys{{21, 100}}},
		"last keys":  {back: Keys{90, 200}, left: []Keys{{0, 89}}},
		"all":        {back: Keys{0, 100}},
		"others":     {back: Keys{101, 200}, left: []Keys{{0, 100}}},
	} {
		t.Run(name, func(t *testing.T) {
			until := time.Unix(1000, 0)
			book := NewBook(DefaultConfig(10*time.Second), 1)
			book.doubts = []*doubt{{worker: "w", keys: Keys{0, 100}, fence: 7, until: until, told: true}}
			book.dropDoubts("w", test.back)
			var left []Keys
			for _, one := range book.doubts {
				assert.Assert(t, one.fence == 7 && one.until.Equal(until) && one.told)
				left = append(left, one.keys)
			}
			assert.DeepEqual(t, left, test.left)
		})
	}
}
