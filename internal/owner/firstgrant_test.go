package owner

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// Guards against a fault seen in soak tests of real processes (seeds 561, 1001): a worker crashed before
// its first grant, and a leader elected after that took it for a previous owner. Its keys waited for a
// hold that it never had, up to 9.2 s for each such worker and each such leader.
func TestNextLeaderDoesNotWaitForUngrantedOwner(t *testing.T) {
	for name, test := range map[string]struct {
		// before is what the first leader does before it is succeeded.
		before func(ledger *Ledger, now time.Time)
		term   Term
		waited bool
	}{
		"not granted yet":                       {term: 2},
		"the first grant is recorded":           {term: 2, waited: true, before: func(ledger *Ledger, now time.Time) { ledger.Due(now.Add(3*time.Second), false) }},
		"another leader was elected in between": {term: 3, waited: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			previous, candidates := movedFromCrashed(t, now)
			if test.before != nil {
				test.before(previous, now)
			}
			value, err := previous.Encode(1, "")
			assert.NilError(t, err)
			next := NewLedger(previous.config, test.term)
			assert.NilError(t, next.Load(now, value, now.Add(9*time.Second)))
			moveAll(next, candidates[2])
			next.Due(now, false)
			expected := []workers.ID{candidates[0].ID}
			if test.waited {
				expected = append(expected, candidates[1].ID)
			}
			assert.DeepEqual(t, waitsFor(next), expected)
		})
	}
}

// A leader must not rely on the mark of a record that it has not stored itself: the next one would not.
func TestMarkOfUngrantedOwnerIsStoredAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	first, _ := movedFromCrashed(t, now)
	for term := Term(2); term < 5; term++ {
		value, err := first.Encode(term-1, "")
		assert.NilError(t, err)
		next := NewLedger(first.config, term)
		assert.NilError(t, next.Load(now, value, now.Add(9*time.Second)))
		assert.Assert(t, next.spans[0].recordedUngranted)
		assert.Assert(t, next.RecordVersion() > next.StoredVersion(), "it must be stored")
		first = next
	}
}

// recordsUngranted reports whether the record of a ledger has an owner that is marked as ungranted.
func recordsUngranted(t *testing.T, ledger *Ledger) bool {
	t.Helper()
	value, err := ledger.Encode(ledger.term, "")
	assert.NilError(t, err)
	return strings.Contains(string(value), `"u":true`)
}

// The first grant is sent only after a record is stored that no longer states that there was none.
func TestFirstGrantIsRecordedBeforeItIsSent(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := movedFromCrashed(t, now)
	assert.Assert(t, recordsUngranted(t, ledger))
	now = now.Add(5 * time.Second)
	assert.Equal(t, len(ledger.Due(now, false)), 0)
	assert.Assert(t, !recordsUngranted(t, ledger))
	assert.Equal(t, len(ledger.Due(now, false)), 0, "not stored yet")
	ledger.MarkStored(ledger.RecordVersion())
	due := grantDue(t, ledger, now)
	assert.Assert(t, !due.Release && due.Target.ID == candidates[1].ID)
}

// The record is updated a moment before the hold ends, so that the first grant need not wait for it.
func TestFirstGrantIsRecordedAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, _ := movedFromCrashed(t, now)
	end := now.Add(ledger.config.MaxHold())
	version := ledger.RecordVersion()
	ledger.Due(end.Add(-firstGrantLead), false)
	assert.Equal(t, ledger.RecordVersion(), version)
	ledger.Due(end.Add(-firstGrantLead/2), false)
	assert.Equal(t, ledger.RecordVersion(), version+1)
}

// A worker to which keys return may still hold them from before, so it is not recorded as ungranted.
func TestReturningKeysAreNotRecordedAsUngranted(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := movedFromCrashed(t, now)
	assert.Assert(t, recordsUngranted(t, ledger))
	moveAll(ledger, candidates[0])
	assert.Assert(t, !recordsUngranted(t, ledger))
	ledger.Due(now, false)
	assert.Equal(t, ledger.spans[0].owner, candidates[0].ID)
	assert.Assert(t, !recordsUngranted(t, ledger))
}

// A planned move doesn't wait for a hold, and is stored once only.
func TestMoveFromReachableOwnerIsStoredOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := equalCandidates(2, 30)
	ledger.Assign(now, InitialOwners(candidates[:1], nil))
	ledger.MarkStored(ledger.RecordVersion())
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
	moveAll(ledger, candidates[1])
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
	assert.Equal(t, grantDue(t, ledger, now).Target.ID, candidates[1].ID)
}
