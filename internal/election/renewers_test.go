package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
	"github.com/shalefork/shalefork/internal/owner"
)

// storeWithTimeout stores a list of renewers. It gives up before a delayed write is applied.
func storeWithTimeout(t *testing.T, tenure *Tenure, list ...Renewer) error {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	return tenure.StoreRenewers(ctx, list)
}

// A standby gets its delegation once it is stored in the list. A delayed write must not remove it
// from the list again, or the next leader would not ask it to stop.
func TestDelayedWriteDoesNotRemoveStandby(t *testing.T) {
	first, second := Renewer{Address: "x:1", Process: "x"}, Renewer{Address: "y:1", Process: "y"}
	for name, delay := range map[string]time.Duration{"lost": 0, "late": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				tenure, err := candidate(store, "a").Campaign(t.Context(), 0)
				assert.NilError(t, err)
				store.LoseAnswers(1, delay)
				assert.Assert(t, storeWithTimeout(t, tenure, first) != nil, "the write gets no response")
				for tries := 0; storeWithTimeout(t, tenure, second) != nil; tries++ {
					assert.Assert(t, tries < 2)
				}
				time.Sleep(2 * time.Second)
				list, _, err := candidate(store, "b").renewers(t.Context())
				assert.NilError(t, err)
				assert.DeepEqual(t, list, []Renewer{second})
			})
		})
	}
}

// Guards against a fault: a list of renewers that could not be decoded prevented every process from
// becoming the leader. It must count as empty: the next leader then waits for all holds to expire.
func TestUnreadableRenewersListCountsAsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		election := candidate(store, "a")
		_, err := store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{{Key: election.renewersKey(), Value: []byte("{")}}})
		assert.NilError(t, err)
		tenure, err := election.Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(tenure.PreviousRenewers), 0)
		stored := Renewer{Address: "x:1", Process: "x"}
		assert.NilError(t, storeWithTimeout(t, tenure, stored))
		list, _, err := election.renewers(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []Renewer{stored})
	})
}

// The first term of a renewer says which earlier holds it can't have renewed. It must not be stated for
// more than is known: after a list that can't be decoded, the leader's entry stands for the lost ones.
func TestFirstTermsOfRenewers(t *testing.T) {
	entry := func(process string, term, since owner.Term) Renewer {
		return Renewer{Address: process + ":1", Process: process, Term: term, Since: since}
	}
	for name, test := range map[string]struct {
		previous []Renewer
		complete bool
		stored   []Renewer
	}{
		"the first leader":           {complete: true, stored: []Renewer{entry("x", 5, 5)}},
		"a lost list":                {stored: []Renewer{entry("x", 5, 0)}},
		"another process led":        {previous: []Renewer{entry("y", 4, 3)}, complete: true, stored: []Renewer{entry("y", 4, 3), entry("x", 5, 5)}},
		"it renewed holds before":    {previous: []Renewer{entry("x", 4, 3)}, complete: true, stored: []Renewer{entry("x", 5, 3)}},
		"an entry without terms":     {previous: []Renewer{entry("x", 0, 0)}, complete: true, stored: []Renewer{entry("x", 0, 0)}},
		"an entry of a version ago":  {previous: []Renewer{entry("x", 4, 0)}, complete: true, stored: []Renewer{entry("x", 5, 0)}},
		"two entries of one process": {previous: []Renewer{entry("y", 4, 4), entry("y", 3, 2)}, complete: true, stored: []Renewer{entry("y", 4, 2), entry("x", 5, 5)}},
	} {
		t.Run(name, func(t *testing.T) {
			tenure := Tenure{Leader: Leader{Address: "x:1", Process: "x", Term: 5}, PreviousRenewers: test.previous, RenewersComplete: test.complete}
			assert.DeepEqual(t, tenure.StoredRenewers(), test.stored)
		})
	}
}

func TestUnreadableRenewersListIsIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first, err := candidate(store, "a").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, first.RenewersComplete, "there was no leader before")
		first.Resign(t.Context())
		_, err = store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{{Key: candidate(store, "b").renewersKey(), Value: []byte("{")}}})
		assert.NilError(t, err)
		second, err := candidate(store, "b").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, !second.RenewersComplete)
		list, _, err := candidate(store, "b").renewers(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, list[0].Since, owner.Term(0))
		second.Resign(t.Context())
	})
}
