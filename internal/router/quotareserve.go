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
	// reserveRetryPause is the pause between tries to claim the reserve.
	reserveRetryPause = 250 * time.Millisecond
	// reserveMargin is for how much longer than needed the claim stands.
	reserveMargin = time.Second
)

const (
	// claimRefreshInterval is the pause between looks whether less is left over than a claim tells, and
	// claimRefreshStep by which share less it must be for the claim to be written anew: routers that lost
	// their leader tell what they hold within seconds, and the next leader gains by that.
	claimRefreshInterval = time.Second
	claimRefreshStep     = 0.05
)

// claimReserve lets a new leader deal at once what leaders before can't have dealt: the reserve.
// The claim is a key in the store that lapses by itself once what it tells of has. It is written
// anew as more routers tell what they hold.
func (q *quotas) claimReserve(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator) {
	end := clock.Now().Add(q.bound.TakeoverDelay())
	var written reservation
	for ctx.Err() == nil && clock.Now().Before(end) {
		pause := reserveRetryPause
		switch {
		case written.claimed:
			pause = claimRefreshInterval
			q.refreshClaim(ctx, tenure, coordinator, &written, end)
		case q.mayClaim(coordinator):
			if written = q.claim(ctx, tenure, coordinator); written.claimed {
				q.r.log.Line(decision.KindQuotaReserve).Int64("term", int64(tenure.Leader.Term)).
					Float64("leftover", written.unreported.Sum()).Msg("")
			}
		}
		clock.Sleep(ctx, pause)
	}
}

func (q *quotas) mayClaim(coordinator *quota.Coordinator) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return coordinator.ReserveClaimDue(clock.Now())
}

func (q *quotas) unreportedShares(coordinator *quota.Coordinator, before quota.UnreportedShares) quota.UnreportedShares {
	q.mu.Lock()
	defer q.mu.Unlock()
	return coordinator.Unreported(before)
}

// reservation is a claim that was written.
type reservation struct {
	claimed bool
	// revision of the claim, before is what the one before told, and leftover what this one tells.
	revision           coord.Revision
	before, unreported quota.UnreportedShares
}

// claim writes a leader's claim after it has read that of the one before.
func (q *quotas) claim(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator) reservation {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, stands, err := q.r.adapter.Store.Get(bounded, KeyPrefix+reserveKey)
	if err != nil {
		return reservation{}
	}
	var one reservation
	if stands {
		one.before = unreportedOf(item)
	}
	one.unreported = q.unreportedShares(coordinator, one.before)
	one.revision, one.claimed = q.writeClaim(bounded, tenure, item.Revision, one.unreported, q.bound.TakeoverDelay())
	if one.claimed {
		q.mu.Lock()
		defer q.mu.Unlock()
		coordinator.ReserveClaimed(one.before)
	}
	return one
}

// refreshClaim writes a claim anew if less is left over by now, for as long as it is needed still.
func (q *quotas) refreshClaim(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator, written *reservation, end time.Time) {
	leftover := q.unreportedShares(coordinator, written.before)
	if leftover.Sum() > (1-claimRefreshStep)*written.unreported.Sum() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if revision, done := q.writeClaim(bounded, tenure, written.revision, leftover, clock.Until(end)); done {
		written.revision, written.unreported = revision, leftover
	}
}

// unreportedOf reads a claim: one that can't be read leaves all over.
func unreportedOf(item coord.Item) quota.UnreportedShares {
	var left quota.UnreportedShares
	if err := json.Unmarshal(item.Value, &left); err != nil || left.All < 0 || left.All > 1 {
		return quota.UnreportedShares{All: 1}
	}
	return left
}

// limits reports whether any tenant is known.
func (q *quotas) hasTenants() bool {
	config := q.r.proxy.Config()
	return config != nil && len(config.Tenants) > 0
}

// bar keeps new leaders from dealing the reserve for a while, since less of a tenant's requests
// is allowed from now on.
func (q *quotas) blockReserve(ctx context.Context, tenure *election.Tenure) {
	for ctx.Err() == nil && !q.tryBlockReserve(ctx, tenure) {
		clock.Sleep(ctx, reserveRetryPause)
	}
}

func (q *quotas) tryBlockReserve(ctx context.Context, tenure *election.Tenure) bool {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, _, err := q.r.adapter.Store.Get(bounded, KeyPrefix+reserveKey)
	if err != nil {
		return false
	}
	_, done := q.writeClaim(bounded, tenure, item.Revision, quota.UnreportedShares{All: 1}, q.bound.TakeoverDelay())
	return done
}

// writeClaim replaces the claim of a revision, zero if there is none, by one that stands for as
// long as needed; false if that is not known to be done.
func (q *quotas) writeClaim(ctx context.Context, tenure *election.Tenure, revision coord.Revision, leftover quota.UnreportedShares, needed time.Duration) (coord.Revision, bool) {
	value, err := json.Marshal(leftover)
	if err != nil {
		panic(err) // plain data
	}
	store := q.r.adapter.Store
	lease, holds, err := store.GrantLease(ctx, needed+reserveMargin)
	if err != nil {
		return 0, false
	}
	if holds >= needed {
		written, err := store.Commit(ctx, coord.Txn{
			Conditions: []coord.Condition{{Key: KeyPrefix + reserveKey, Revision: revision}, {Key: q.r.election.LeaderKey(), Revision: tenure.Leader.Revision}},
			Puts:       []coord.Put{{Key: KeyPrefix + reserveKey, Value: value, Lease: lease}},
		})
		if err == nil {
			return written, true
		}
	}
	_ = store.EndLease(ctx, lease)
	return 0, false
}
