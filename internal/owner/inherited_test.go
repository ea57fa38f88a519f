package owner

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// movedFromCrashed returns a ledger in which all keys have been moved from a worker that crashed while
// it held them to a second one, which has been sent no grant yet.
func movedFromCrashed(t *testing.T, now time.Time) (*Ledger, []Candidate) {
	t.Helper()
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	candidates := equalCandidates(3, 30)
	ledger.Assign(now, InitialOwners(candidates[:1], nil))
	ledger.MarkStored(ledger.RecordVersion())
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeDone})
	for range 2 {
		now = now.Add(time.Second)
		ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeUnreachable})
	}
	moveAll(ledger, candidates[1])
	ledger.HandleReply(now, grantDue(t, ledger, now), Reply{Outcome: OutcomeUnreachable}) // the release
	return ledger, candidates
}

// moveAll moves all keys to a worker and stores the record.
func moveAll(ledger *Ledger, to Candidate) {
	ledger.Move(KeyRange{0, KeyCount - 1}, to.ID, to.Address)
	ledger.MarkStored(ledger.RecordVersion())
}

// waitsFor returns the workers that the keys of a ledger wait for.
func waitsFor(ledger *Ledger) []workers.ID {
	var list []workers.ID
	for _, old := range ledger.spans[0].previous {
		list = append(list, old.worker)
	}
	return list
}

// Guards against a fault seen in soak tests of real processes (seed 1001): what kept a later leader
// waiting for a previous owner was any process that might have renewed any hold, also one that only had
// under leaders that knew of the move.
func TestHoldOfPreviousOwnerKeepsItsTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := movedFromCrashed(t, now)
	for term := Term(2); term < 5; term++ {
		value, err := ledger.Encode(term-1, "")
		assert.NilError(t, err)
		ledger = NewLedger(ledger.config, term)
		assert.NilError(t, ledger.Load(now, value, now.Add(9*time.Second)))
		assert.DeepEqual(t, waitsFor(ledger), []workers.ID{candidates[0].ID})
		assert.DeepEqual(t, ledger.InheritedHolds(now), []InheritedHold{{Worker: candidates[0].ID, Term: 1}})
	}
	ledger.LimitInheritedHolds(InheritedHold{Worker: candidates[0].ID, Term: 0}, now)
	assert.Equal(t, len(ledger.InheritedHolds(now)), 1, "an earlier hold than that which may last")
	ledger.LimitInheritedHolds(InheritedHold{Worker: candidates[0].ID, Term: 1}, now.Add(-time.Second))
	assert.Equal(t, len(ledger.InheritedHolds(now)), 0)
}

// Records of earlier versions don't name the terms of previous owners.
func TestPreviousOwnerWithoutTermMayHaveAnyHold(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger, candidates := movedFromCrashed(t, now)
	value, err := ledger.Encode(1, "")
	assert.NilError(t, err)
	value = []byte(strings.ReplaceAll(string(value), `,"pt":[1]`, ""))
	next := NewLedger(ledger.config, 7)
	assert.NilError(t, next.Load(now, value, now.Add(9*time.Second)))
	assert.DeepEqual(t, next.InheritedHolds(now), []InheritedHold{{Worker: candidates[0].ID, Term: 6}})
}
