package router

import (
	"context"
	"encoding/json"
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

// reserveClaim is what a leader that deals the reserve leaves for the next: which share of a
// limit it did not know to be held.
type reserveClaim struct {
	Leftover float64 `json:"leftover"`
}

// claimReserve lets a new leader deal at once what leaders before can't have dealt: the reserve.
// The claim is a key in the store that lapses by itself once what it tells of has.
func (q *quotas) claimReserve(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator) {
	end := clock.Now().Add(q.bound.Unknown())
	for ctx.Err() == nil && clock.Now().Before(end) {
		q.mu.Lock()
		claims := coordinator.Claims(clock.Now())
		q.mu.Unlock()
		if claims && q.claim(ctx, tenure, coordinator) {
			q.r.log.Line(decision.KindQuotaReserve).Int64("term", int64(tenure.Leader.Term)).Msg("")
			return
		}
		clock.Sleep(ctx, reservePause)
	}
}

// claim writes a leader's claim after it has read that of the one before; false if that is not
// known to be done.
func (q *quotas) claim(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator) bool {
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	item, stands, err := q.r.adapter.Store.Get(bounded, KeyPrefix+reserveKey)
	if err != nil {
		return false
	}
	before := 0.0
	if stands {
		before = leftoverOf(item)
	}
	q.mu.Lock()
	leftover := coordinator.Leftover(before)
	q.mu.Unlock()
	if !q.writeClaim(bounded, tenure, item.Revision, reserveClaim{Leftover: leftover}) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	coordinator.Reserved(before)
	return true
}

// leftoverOf reads a claim: one that can't be read leaves all over.
func leftoverOf(item coord.Item) float64 {
	claim := reserveClaim{Leftover: 1}
	if err := json.Unmarshal(item.Value, &claim); err != nil || !(claim.Leftover >= 0 && claim.Leftover <= 1) {
		return 1
	}
	return claim.Leftover
}

// limits reports whether any tenant is known.
func (q *quotas) limits() bool {
	config := q.r.proxy.Config()
	return config != nil && len(config.Tenants) > 0
}

// bar keeps new leaders from dealing the reserve for a while, since less of a tenant's requests
// is allowed from now on.
func (q *quotas) bar(ctx context.Context, tenure *election.Tenure) {
	for ctx.Err() == nil && !q.barOnce(ctx, tenure) {
		clock.Sleep(ctx, reservePause)
	}
}

func (q *quotas) barOnce(ctx context.Context, tenure *election.Tenure) bool {
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	item, _, err := q.r.adapter.Store.Get(bounded, KeyPrefix+reserveKey)
	return err == nil && q.writeClaim(bounded, tenure, item.Revision, reserveClaim{Leftover: 1})
}

// writeClaim replaces the claim of a revision, zero if there is none; false if that is not known
// to be done.
func (q *quotas) writeClaim(ctx context.Context, tenure *election.Tenure, revision coord.Revision, claim reserveClaim) bool {
	value, err := json.Marshal(claim)
	if err != nil {
		panic(err) // plain data
	}
	store := q.r.adapter.Store
	lease, holds, err := store.GrantLease(ctx, q.bound.Unknown()+reserveMargin)
	if err != nil {
		return false
	}
	if holds >= q.bound.Unknown() {
		_, err = store.Commit(ctx, coord.Txn{
			Conditions: []coord.Condition{{Key: KeyPrefix + reserveKey, Revision: revision}, {Key: q.r.election.LeaderKey(), Revision: tenure.Leader.Revision}},
			Puts:       []coord.Put{{Key: KeyPrefix + reserveKey, Value: value, Lease: lease}},
		})
		if err == nil {
			return true
		}
	}
	_ = store.EndLease(ctx, lease)
	return false
}
