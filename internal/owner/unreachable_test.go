package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// movedFromUnreached returns a ledger whose first owner has not been reached by any grant, and in
// which all keys have since been moved to a second one.
//
// The tests that use it guard against a fault seen in soak tests of real processes (seeds 436, 514,
// 522, 561, 579): keys were granted to a worker that had crashed before any grant reached it, and
// were then moved. They stayed unavailable until a lost standby could no longer renew a hold that
// it had never been informed of, plus the duration of a hold; or, under a leader elected in
// between, until all holds of the previous leader had ended.
func movedFromUnreached(t *testing.T, now time.Time, outcomes ...Outcome) (*Ledger, []Candidate) {
	t.Helper()
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := equalCandidates(2, 30)
	ledger.Assign(now, InitialOwners(candidates[:1], nil))
	ledger.MarkStored(ledger.RecordVersion())
	for _, outcome := range outcomes {
		ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: outcome})
		now = now.Add(ledger.config.RetryDelay)
	}
	ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	return ledger, candidates
}

func TestMoveFromUnreachedOwnerDoesNotWait(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []Outcome
		waited   bool
	}{
		"never sent":           {},
		"no connection":        {outcomes: []Outcome{OutcomeUnreachable, OutcomeUnreachable}},
		"no reply":             {outcomes: []Outcome{OutcomeUnanswered}, waited: true},
		"no reply at first":    {outcomes: []Outcome{OutcomeUnanswered, OutcomeUnreachable}, waited: true},
		"accepted once":        {outcomes: []Outcome{OutcomeDone}, waited: true},
		"a connection at last": {outcomes: []Outcome{OutcomeUnreachable, OutcomeUnanswered}, waited: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			ledger, candidates := movedFromUnreached(t, now, test.outcomes...)
			ledger.SetDelegations([]Delegation{{Until: now.Add(6 * time.Second)}}) // the standby knows of no holds
			ledger.MarkStored(ledger.RecordVersion())
			due := ledger.Due(now.Add(time.Second), false)
			assert.Equal(t, len(due), 1)
			assert.Equal(t, due[0].Release, test.waited)
			if !test.waited {
				assert.Equal(t, due[0].Target.ID, candidates[1].ID)
			}
		})
	}
}

func TestNextLeaderDoesNotWaitForUnreachedOwner(t *testing.T) {
	for name, test := range map[string]struct {
		outcome Outcome
		waited  bool
	}{
		"no connection": {outcome: OutcomeUnreachable},
		"no reply":      {outcome: OutcomeUnanswered, waited: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			previous, candidates := movedFromUnreached(t, now, test.outcome)
			value, err := previous.Encode(1, "")
			assert.NilError(t, err)
			next := NewLedger(previous.config, 2)
			assert.NilError(t, next.Load(now, value, now.Add(9*time.Second)))
			next.MarkStored(next.RecordVersion())
			due := grantDue(t, next, now)
			assert.Equal(t, due.Release, test.waited)
			assert.Equal(t, due.Target.ID == candidates[1].ID, !test.waited)
		})
	}
}

// While the record being stored omits the first owner, that owner gets no grant.
func TestOwnerMissingFromRecordGetsNoGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, _ := movedFromUnreached(t, now, OutcomeUnreachable)
	assert.Equal(t, len(ledger.Due(now.Add(time.Second), false)), 0)
}

// A worker to which keys return, and which can't be reached, may still accept an earlier grant.
func TestUnconfirmedGrantIsKeptWhenKeysReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := movedFromUnreached(t, now, OutcomeUnanswered)
	ledger.MarkStored(ledger.RecordVersion())
	due := grantDue(t, ledger, now)
	assert.Assert(t, due.Release)
	ledger.HandleReply(now, due, Reply{Outcome: OutcomeUnreachable})
	ledger.Move(KeyRange{0, KeyCount - 1}, candidates[0].ID, candidates[0].Address)
	ledger.MarkStored(ledger.RecordVersion())
	now = now.Add(time.Second)
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeUnreachable})
	ledger.Move(KeyRange{0, KeyCount - 1}, candidates[1].ID, candidates[1].Address)
	ledger.MarkStored(ledger.RecordVersion())
	now = now.Add(5 * time.Second) // the first hold has certainly ended
	orders := map[bool]Order{}
	for range 2 { // the first grant is recorded before it is sent
		for _, order := range ledger.Due(now, false) {
			orders[order.Release] = order
		}
		ledger.MarkStored(ledger.RecordVersion())
	}
	assert.Equal(t, len(orders), 2, "the grant to the new owner, and the new fence to the old one")
	assert.Equal(t, orders[true].Target.ID, candidates[0].ID)
}

// Guards against a fault: when some of its keys returned to a worker, it was no longer sent the new
// fence of the others.
func TestUnconfirmedGrantIsKeptForOtherKeys(t *testing.T) {
	for name, test := range map[string]struct {
		returned  KeyRange
		remaining []KeyRange
	}{
		"inside":     {returned: KeyRange{10, 20}, remaining: []KeyRange{{0, 9}, {21, 100}}},
		"first keys": {returned: KeyRange{0, 20}, remaining: []KeyRange{{21, 100}}},
		"last keys":  {returned: KeyRange{90, 200}, remaining: []KeyRange{{0, 89}}},
		"all":        {returned: KeyRange{0, 100}},
		"others":     {returned: KeyRange{101, 200}, remaining: []KeyRange{{0, 100}}},
	} {
		t.Run(name, func(t *testing.T) {
			until := time.Unix(1000, 0)
			ledger := NewLedger(DefaultConfig(10*time.Second), 1)
			ledger.unconfirmed = []*unconfirmedGrant{{worker: "w", keys: KeyRange{0, 100}, fence: 7, until: until, acknowledged: true}}
			ledger.dropUnconfirmed("w", test.returned)
			var remaining []KeyRange
			for _, grant := range ledger.unconfirmed {
				assert.Assert(t, grant.fence == 7 && grant.until.Equal(until) && grant.acknowledged)
				remaining = append(remaining, grant.keys)
			}
			assert.DeepEqual(t, remaining, test.remaining)
		})
	}
}
