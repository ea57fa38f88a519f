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

// reserveKey is the store key of the claim.
const reserveKey = "quota-reserve"

const (
	// reserveRetryPause is the pause between attempts to claim the reserve.
	reserveRetryPause = 250 * time.Millisecond
	// reserveMargin is how much longer than needed the claim is kept.
	reserveMargin = time.Second
)

const (
	// claimRefreshInterval is how often the unreported shares are compared with the claim, and
	// claimRefreshStep the share by which they must have shrunk for the claim to be rewritten.
	// Routers that lost their leader report what they hold within seconds, from which the next
	// leader benefits.
	claimRefreshInterval = time.Second
	claimRefreshStep     = 0.05
)

// claimReserve lets a new leader allocate at once what previous leaders can't have allocated: the
// reserve. The claim is a key in the store whose lease ends once the shares that it describes have
// expired. It is rewritten as more routers report what they hold.
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
				q.r.log.Line(decision.KindQuotaReserveClaimed).Int64("term", int64(tenure.Leader.Term)).
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
	// revision is that of the claim. before holds the unreported shares of the previous claim, and
	// unreported those of this one.
	revision           coord.Revision
	before, unreported quota.UnreportedShares
}

// claim writes this leader's claim after reading the previous one.
func (q *quotas) claim(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator) reservation {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, found, err := q.r.adapter.Store.Get(bounded, KeyPrefix+reserveKey)
	if err != nil {
		return reservation{}
	}
	var written reservation
	if found {
		written.before = unreportedOf(item)
	}
	written.unreported = q.unreportedShares(coordinator, written.before)
	written.revision, written.claimed = q.writeClaim(bounded, tenure, item.Revision, written.unreported, q.bound.TakeoverDelay())
	if written.claimed {
		q.mu.Lock()
		defer q.mu.Unlock()
		coordinator.ReserveClaimed(written.before)
	}
	return written
}

// refreshClaim rewrites the claim if the unreported shares have shrunk, for the rest of the time
// for which it is needed.
func (q *quotas) refreshClaim(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator, written *reservation, end time.Time) {
	unreported := q.unreportedShares(coordinator, written.before)
	if unreported.Sum() > (1-claimRefreshStep)*written.unreported.Sum() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if revision, done := q.writeClaim(bounded, tenure, written.revision, unreported, clock.Until(end)); done {
		written.revision, written.unreported = revision, unreported
	}
}

// unreportedOf decodes a claim; if it is invalid, everything counts as unreported.
func unreportedOf(item coord.Item) quota.UnreportedShares {
	var shares quota.UnreportedShares
	if err := json.Unmarshal(item.Value, &shares); err != nil || shares.All < 0 || shares.All > 1 {
		return quota.UnreportedShares{All: 1}
	}
	return shares
}

// hasTenants reports whether any tenant is configured.
func (q *quotas) hasTenants() bool {
	config := q.r.proxy.Config()
	return config != nil && len(config.Tenants) > 0
}

// blockReserve keeps new leaders from allocating the reserve for a while, since a tenant's limit
// was lowered.
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

// writeClaim replaces the claim at a revision, zero if there is none, by one that exists for at
// least as long as needed; false if the write is not known to have succeeded.
func (q *quotas) writeClaim(ctx context.Context, tenure *election.Tenure, revision coord.Revision, unreported quota.UnreportedShares, needed time.Duration) (coord.Revision, bool) {
	value, err := json.Marshal(unreported)
	if err != nil {
		panic(err) // can't fail on plain data
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
