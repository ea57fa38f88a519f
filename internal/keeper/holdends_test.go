package keeper

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// unreachableWorker lets orders to one worker fail.
type unreachableWorker struct {
	owner.OrderSender
	id workers.ID
}

func (u unreachableWorker) Grant(ctx context.Context, to owner.Target, grant owner.Grant) owner.Reply {
	if to.ID == u.id {
		return owner.Reply{Outcome: owner.OutcomeUnreachable}
	}
	return u.OrderSender.Grant(ctx, to, grant)
}

func (u unreachableWorker) Release(ctx context.Context, from owner.Target, keys owner.KeyRange, fence owner.Fence) owner.Reply {
	if from.ID == u.id {
		return owner.Reply{Outcome: owner.OutcomeUnreachable}
	}
	return u.OrderSender.Release(ctx, from, keys, fence)
}

// Guards against a fault: the keys of a crashed worker waited until the end of all holds that earlier
// leaders could have granted, after each election anew.
func TestKeysMoveOnceTheirEarlierHoldHasEnded(t *testing.T) {
	for name, test := range map[string]struct {
		answered bool
		moved    bool
	}{
		"earlier renewers tell when it ended": {answered: true, moved: true},
		"nobody tells":                        {},
	} {
		t.Run(name, func(t *testing.T) {
			runBench(t, func(b *testBench) {
				b.lead(6*time.Second, nil)
				gone := b.stored()[0].Worker
				b.announce(map[workers.ID]workers.ID{"w1": "w2", "w2": "w1"}[gone])
				b.keeper.Orders = unreachableWorker{OrderSender: b.orders, id: gone}
				ended := clock.Now()
				if test.answered {
					b.keeper.QueryHoldEnds = func(_ context.Context, list []owner.InheritedHold) map[owner.InheritedHold]time.Time {
						hold := owner.InheritedHold{Worker: gone, Term: 1}
						assert.DeepEqual(b.t, list, []owner.InheritedHold{hold})
						return map[owner.InheritedHold]time.Time{hold: ended}
					}
				}
				tenure, err := b.election.Campaign(b.t.Context(), 0)
				assert.NilError(b.t, err)
				ctx, stop := context.WithTimeout(b.t.Context(), 6*time.Second)
				defer stop()
				go tenure.KeepAlive(ctx)
				b.keeper.Lead(ctx, tenure, clock.Now().Add(9*time.Second))
				held := b.owner(b.stored()[0].Keys.From)
				assert.Equal(b.t, held != "", test.moved)
				tenure.Resign(b.t.Context())
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// A renewer that has stopped may have renewed a hold a moment before. A leader elected after the next one
// must be able to ask it.
func TestEarlierRenewersStayStoredUntilTheirHoldsEnd(t *testing.T) {
	runBench(t, func(b *testBench) {
		earlier := election.Renewer{Address: "x:1", Process: "x", Term: 1}
		first, err := b.election.Campaign(b.t.Context(), 0)
		assert.NilError(b.t, err)
		assert.NilError(b.t, first.StoreRenewers(b.t.Context(), []election.Renewer{earlier}))
		first.Resign(b.t.Context())
		tenure, err := b.election.Campaign(b.t.Context(), 0)
		assert.NilError(b.t, err)
		ctx, stop := context.WithTimeout(b.t.Context(), 12*time.Second)
		defer stop()
		go tenure.KeepAlive(ctx)
		stored := func() (found bool) {
			item, _, err := b.store.Get(b.t.Context(), "cell/renewers")
			assert.NilError(b.t, err)
			var list []election.Renewer
			assert.NilError(b.t, json.Unmarshal(item.Value, &list))
			for _, renewer := range list {
				found = found || renewer.Same(earlier)
			}
			return found
		}
		go b.keeper.Lead(ctx, tenure, clock.Now().Add(5*time.Second))
		time.Sleep(4500 * time.Millisecond)
		assert.Assert(b.t, stored(), "its holds may still last")
		time.Sleep(3 * time.Second)
		assert.Assert(b.t, !stored(), "its holds have ended")
		time.Sleep(8 * time.Second)
	})
}
