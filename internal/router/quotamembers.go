package router

import (
	"context"
	"encoding/json"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/quota"
)

// membersKey is the store key of the routers that may hold units.
const membersKey = "quota-members"

// storedMembers describes the members that were last read or written.
type storedMembers struct {
	// revision is that of the stored members; zero if there are none.
	revision coord.Revision
}

// awaitMembers reads which routers may have units from previous leaders, and passes them to the
// coordinator; false if ctx ended first.
func (q *quotas) awaitMembers(ctx context.Context, coordinator *quota.Coordinator) (storedMembers, bool) {
	for ctx.Err() == nil {
		item, found, err := q.getMembers(ctx)
		if err == nil {
			before := q.membersOf(item, found)
			q.mu.Lock()
			coordinator.MembersLoaded(before)
			q.mu.Unlock()
			return storedMembers{revision: item.Revision}, true
		}
		clock.Sleep(ctx, reserveRetryPause)
	}
	return storedMembers{}, false
}

func (q *quotas) getMembers(ctx context.Context) (coord.Item, bool, error) {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return q.r.adapter.Store.Get(bounded, KeyPrefix+membersKey)
}

// membersOf decodes stored members; nil if there are none or they can't be decoded: it is then
// unknown which routers previous leaders gave units to.
func (q *quotas) membersOf(item coord.Item, found bool) quota.Members {
	if !found {
		return nil
	}
	members := quota.Members{}
	if err := json.Unmarshal(item.Value, &members); err != nil {
		q.r.log.Line(decision.KindQuotaReserveClaimed).Int64("revision", int64(item.Revision)).Err(err).Msg("invalid list of quota members; the holders of earlier grants are unknown")
		return nil
	}
	return members
}

// keepMembers stores the routers that are about to get units, if any of them is not stored yet. A
// write that is not known to have succeeded is retried.
func (q *quotas) keepMembers(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator, stored *storedMembers) {
	q.mu.Lock()
	fresh := coordinator.MembersToStore(clock.Now())
	q.mu.Unlock()
	if fresh == nil {
		return
	}
	value, err := json.Marshal(fresh)
	if err != nil {
		panic(err) // can't fail on plain data
	}
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	revision, err := q.r.adapter.Store.Commit(bounded, coord.Txn{
		Conditions: []coord.Condition{
			{Key: q.r.election.LeaderKey(), Revision: tenure.Leader.Revision}, {Key: KeyPrefix + membersKey, Revision: stored.revision},
		},
		Puts: []coord.Put{{Key: KeyPrefix + membersKey, Value: value}},
	})
	if err != nil {
		// An earlier write of this leader may have been applied without an acknowledgement. Its
		// routers are a subset of these.
		if item, _, err := q.getMembers(bounded); err == nil {
			stored.revision = item.Revision
		}
		return
	}
	stored.revision = revision
	q.mu.Lock()
	defer q.mu.Unlock()
	coordinator.MembersStored(fresh)
}
