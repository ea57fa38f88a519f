package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
)

// granted returns how many grants went out.
func (b *testBench) grantCount() int {
	b.orders.mu.Lock()
	defer b.orders.mu.Unlock()
	count := 0
	for _, grants := range b.orders.grants {
		count += len(grants)
	}
	return count
}

// A leader whose machine was suspended for longer than its lease sends no order when it wakes:
// another may lead by then. Its steady clock stood, by which the lease is good still; the store is
// away, so that nobody tells it.
func TestResumedLeaderSendsNoOrders(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.lead(12*time.Second, func() {
			time.Sleep(4 * time.Second)
			before := b.grantCount()
			assert.Assert(t, before > 0)
			b.store.SetDown(true)
			restore := clock.Suspend(12 * time.Second)
			defer restore()
			time.Sleep(2 * time.Second)
			assert.Equal(t, b.grantCount(), before)
			b.store.SetDown(false)
		})
	})
}

// An order that was decided before a suspension is not sent after it.
func TestOrderFromBeforeSuspensionIsNotSent(t *testing.T) {
	runBench(t, func(b *testBench) {
		t1 := &tenureKeeper{Keeper: b.keeper, ctx: b.t.Context(), replies: make(chan orderResult, 2)}
		of := newService("s")
		order := owner.Order{Grant: owner.Grant{Keys: owner.KeyRange{From: 0, To: 9}, Fence: 1, Hold: time.Second}, Target: owner.Target{ID: "w1"}}
		t1.suspendedFor = func() time.Duration { return 0 }
		t1.send(of, order)
		assert.Equal(t, (<-t1.replies).reply.Outcome, owner.OutcomeDone)
		t1.suspendedFor = func() time.Duration { return 8 * time.Second }
		t1.send(of, order)
		assert.Equal(t, (<-t1.replies).reply.Outcome, owner.OutcomeUnreachable)
		assert.Equal(t, b.grantCount(), 1)
	})
}
