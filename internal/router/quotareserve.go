package router

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/quota"
)

// reserveKey is where the claim stands.
const reserveKey = "quota-reserve"

const (
	// reservePause is the pause between tries to claim the reserve.
	reservePause = 250 * time.Millisecond
	// reserveMargin is for how much longer than needed the claim stands.
	reserveMargin = time.Second
)

// claimReserve lets a new leader deal at once what leaders before can't have dealt: the reserve.
// The claim is a key in the store that lapses by itself: while it stands no other leader deals
// it too.
func (q *quotas) claimReserve(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator) {
	if tenure.Leader.Term == 1 { // all is dealt
		return
	}
	end := clock.Now().Add(q.bound.Unknown())
	for ctx.Err() == nil && clock.Now().Before(end) {
		q.mu.Lock()
		needed := coordinator.NeedsReserve(clock.Now())
		q.mu.Unlock()
		if needed && q.claim(ctx, tenure, false) {
			q.mu.Lock()
			coordinator.Reserved()
			q.mu.Unlock()
			q.r.log.Line(decision.KindQuotaReserve).Int64("term", int64(tenure.Leader.Term)).Msg("")
			return
		}
		clock.Sleep(ctx, reservePause)
	}
}

// limits reports whether any tenant is known.
func (q *quotas) limits() bool {
	config := q.r.proxy.Config()
	return config != nil && len(config.Tenants) > 0
}

// bar keeps new leaders from dealing the reserve for a while, since less of a tenant's requests
// is allowed from now on.
func (q *quotas) bar(ctx context.Context, tenure *election.Tenure) {
	for ctx.Err() == nil && !q.claim(ctx, tenure, true) {
		clock.Sleep(ctx, reservePause)
	}
}

// claim writes the claim; false if another stands that is not to be replaced, or its own is not
// known to. A claim whose answer was lost is not tried for again until it has lapsed.
func (q *quotas) claim(ctx context.Context, tenure *election.Tenure, replace bool) bool {
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	store, needed := q.r.adapter.Store, q.bound.Unknown()+reserveMargin
	item, stands, err := store.Get(bounded, KeyPrefix+reserveKey)
	if err != nil || stands && !replace {
		return false
	}
	lease, holds, err := store.GrantLease(bounded, needed)
	if err != nil {
		return false
	}
	if holds >= q.bound.Unknown() {
		_, err = store.Commit(bounded, coord.Txn{
			Conditions: []coord.Condition{{Key: KeyPrefix + reserveKey, Revision: item.Revision}, {Key: q.r.election.LeaderKey(), Revision: tenure.Leader.Revision}},
			Puts:       []coord.Put{{Key: KeyPrefix + reserveKey, Value: []byte(q.node), Lease: lease}},
		})
		if err == nil {
			return true
		}
	}
	_ = store.EndLease(bounded, lease)
	return false
}
