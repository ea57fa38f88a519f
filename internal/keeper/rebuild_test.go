package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// Guards against a fault: a record that could not be decoded left the keys of its service without
// owners permanently.
func TestUnreadableRecordIsRebuiltAfterHoldsExpire(t *testing.T) {
	runBench(t, func(b *testBench) {
		_, err := b.store.Commit(b.t.Context(), coord.Txn{Puts: []coord.Put{{Key: RecordKey("cell/", "s"), Value: []byte("{")}}})
		assert.NilError(b.t, err)
		tenure, err := b.election.Campaign(b.t.Context(), 0)
		assert.NilError(b.t, err)
		go tenure.KeepAlive(b.t.Context())
		until := time.Now().Add(5 * time.Second)
		go b.keeper.Lead(b.t.Context(), tenure, until)
		time.Sleep(4900 * time.Millisecond)
		b.orders.mu.Lock()
		assert.Equal(b.t, len(b.orders.grants), 0, "other workers may still hold keys")
		b.orders.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.Assert(b.t, b.owner(7) != "")
		item, _, err := b.store.Get(b.t.Context(), RecordKey("cell/", "s"))
		assert.NilError(b.t, err)
		_, _, err = owner.DecodeOwners(item.Value)
		assert.NilError(b.t, err)
		tenure.Resign(b.t.Context())
		time.Sleep(time.Second)
	})
}

// A worker that restarts must get its keys again under a higher fence.
func TestRestartedWorkerGetsKeysUnderHigherFence(t *testing.T) {
	runBench(t, func(b *testBench) {
		first := workers.Worker{ID: "w1", Service: "s", Address: "w1", Slots: 2, State: workers.StateReady, StartTime: 1}
		b.keeper.Workers.Replace([]workers.Worker{first}, nil, clock.Now())
		b.lead(6*time.Second, func() {
			time.Sleep(4 * time.Second)
			first.StartTime = 2
			b.keeper.Workers.Update([]workers.Worker{first}, nil, nil)
		})
		var fences []owner.Fence
		for _, grant := range b.orders.grants["w1"] {
			if len(fences) == 0 || fences[len(fences)-1] != grant.Fence {
				fences = append(fences, grant.Fence)
			}
		}
		assert.Equal(b.t, len(fences), 2)
		assert.Assert(b.t, fences[1] > fences[0])
	})
}

// Keys stay longer with a worker whose entry was overwritten by another writer than with one whose
// entry was removed: the worker restores its entry with its next heartbeat.
func TestKeysStayWhileEntryIsUnreadable(t *testing.T) {
	for name, test := range map[string]struct {
		unreadable, stays bool
	}{
		"its entry is overwritten": {unreadable: true, stays: true},
		"its entry is gone":        {},
	} {
		t.Run(name, func(t *testing.T) {
			runBench(t, func(b *testBench) {
				var before, after workers.ID
				done := make(chan struct{})
				b.lead(8*time.Second, func() {
					defer close(done)
					time.Sleep(4 * time.Second)
					before = b.owner(7)
					entry, _ := b.keeper.Workers.Get(before)
					b.keeper.Workers.MarkUnreadable(before, test.unreadable)
					b.keeper.Workers.Update(nil, []workers.ID{before}, nil)
					time.Sleep(1300 * time.Millisecond)
					b.keeper.Workers.MarkUnreadable(before, false)
					b.keeper.Workers.Update([]workers.Worker{entry}, nil, nil)
					time.Sleep(100 * time.Millisecond)
					after = b.owner(7)
				})
				<-done
				assert.Assert(b.t, before != "")
				assert.Equal(b.t, before == after, test.stays)
			})
		})
	}
}
