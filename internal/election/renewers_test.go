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

// bounded gives a write up before it is done late.
func bounded(t *testing.T, tenure *Tenure, list ...Renewer) error {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	return tenure.StoreRenewers(ctx, list)
}

// A process gets leave once it is stored. A write that is done seconds later must not
// take it off the record again: the next leader would not ask it to stop.
func TestAWriteThatIsDoneLateTakesNoStandbyOffTheRecord(t *testing.T) {
	first, second := Renewer{Address: "x:1", Process: "x"}, Renewer{Address: "y:1", Process: "y"}
	for name, late := range map[string]time.Duration{"lost": 0, "late": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				tenure, err := candidate(store, "a").Campaign(t.Context(), 0)
				assert.NilError(t, err)
				store.LoseAnswers(1, late)
				assert.Assert(t, bounded(t, tenure, first) != nil, "it had no answer")
				for tries := 0; bounded(t, tenure, second) != nil; tries++ {
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

// A list of standbys that can't be read kept any process from leading: the next leader outwaits
// what they may do, as if it knew of none.
func TestAListOfStandbysThatCantBeReadIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		one := candidate(store, "a")
		_, err := store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{{Key: one.renewersKey(), Value: []byte("{")}}})
		assert.NilError(t, err)
		tenure, err := one.Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(tenure.PreviousRenewers), 0)
		stored := Renewer{Address: "x:1", Process: "x"}
		assert.NilError(t, bounded(t, tenure, stored))
		list, _, err := one.renewers(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []Renewer{stored})
	})
}
