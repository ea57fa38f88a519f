package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
)

// grantCount returns the number of grants sent.
func (b *testBench) grantCount() int {
	b.orders.mu.Lock()
	defer b.orders.mu.Unlock()
	count := 0
	for _, grants := range b.orders.grants {
		count += len(grants)
	}
	return count
}

// A leader whose machine was suspended for longer than its lease must send no orders after it
// resumes, since another process may lead by then. Its monotonic clock did not advance, so the lease
// still appears valid, and the store is unreachable, so nothing reports that the lease has expired.
func TestResumedLeaderSendsNoOrders(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.lead(12*time.Second, func() {
			time.Sleep(4 * time.Second)
			before := b.grantCount()
			assert.Assert(t, before > 0)
			b.store.SetDown(true)
			restore := clock.SimulateSuspension(12 * time.Second)
			defer restore()
			time.Sleep(2 * time.Second)
			assert.Equal(t, b.grantCount(), before)
			b.store.SetDown(false)
		})
	})
}

// An order that was planned before a suspension must not be sent after it.
func TestOrderFromBeforeSuspensionIsNotSent(t *testing.T) {
	runBench(t, func(b *testBench) {
		keeper := &tenureKeeper{Keeper: b.keeper, ctx: b.t.Context(), replies: make(chan orderResult, 2)}
		svc := newService("s")
		order := owner.Order{Grant: owner.Grant{Keys: owner.KeyRange{From: 0, To: 9}, Fence: 1, Hold: time.Second}, Target: owner.Target{ID: "w1"}}
		keeper.suspendedFor = func() time.Duration { return 0 }
		keeper.send(svc, order)
		assert.Equal(t, (<-keeper.replies).reply.Outcome, owner.OutcomeDone)
		keeper.suspendedFor = func() time.Duration { return 8 * time.Second }
		keeper.send(svc, order)
		assert.Equal(t, (<-keeper.replies).reply.Outcome, owner.OutcomeUnreachable)
		assert.Equal(t, b.grantCount(), 1)
	})
}
