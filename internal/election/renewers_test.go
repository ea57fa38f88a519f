package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
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
