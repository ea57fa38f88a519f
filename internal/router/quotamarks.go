package router

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
)

// busyTenantsKey is the store key of the tenants that are marked as busy.
const busyTenantsKey = "quota-busy"

// marksInterval is how often tenants are checked for marking. It is well below unitTimeout, so that
// a request that waits for a unit benefits from the mark.
const marksInterval = 100 * time.Millisecond

// busyMarks are the tenants that are marked as busy in the store. A leader allocates the whole
// limit of a busy tenant, so the next leader can allocate nothing before it knows what routers
// hold.
type busyMarks struct {
	Tenants []routing.TenantName `json:"tenants"`
	// revision is that of the stored list; zero if there is none.
	revision coord.Revision
}

// keepMarks passes the stored marks to the coordinator, which may then allocate what no previous
// leader can have allocated. Until ctx ends, it marks tenants that request more than is allocated
// to an unmarked tenant. A mark is stored before more is allocated, and removed once no more is
// outstanding than for an unmarked tenant.
func (q *quotas) keepMarks(ctx context.Context, tenure *election.Tenure, coordinator *quota.Coordinator) {
	marks, ok := q.awaitMarks(ctx)
	if !ok {
		return
	}
	q.mark(coordinator, marks.Tenants)
	members, ok := q.awaitMembers(ctx, coordinator)
	if !ok {
		return
	}
	go q.claimReserve(ctx, tenure, coordinator)
	for clock.Sleep(ctx, marksInterval) {
		q.keepMembers(ctx, tenure, coordinator, &members)
		q.mu.Lock()
		toMark, toUnmark := coordinator.TenantsToMark(), coordinator.TenantsToUnmark()
		q.mu.Unlock()
		if len(toMark)+len(toUnmark) > 0 && q.storeMarks(ctx, tenure, &marks, toMark, toUnmark) {
			q.mark(coordinator, toMark)
			q.unmark(coordinator, toUnmark)
			q.r.log.Line(decision.KindTenantsBusy).Int("tenants", len(toMark)).Int("cooled", len(toUnmark)).
				Int64("revision", int64(marks.revision)).Msg("")
		}
	}
}

func (q *quotas) unmark(coordinator *quota.Coordinator, names []routing.TenantName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	coordinator.UnmarkBusy(names...)
}

func (q *quotas) mark(coordinator *quota.Coordinator, names []routing.TenantName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	coordinator.MarkBusy(names...)
}

// awaitMarks reads the stored marks. It retries until it succeeds, and returns false if ctx ended
// first.
func (q *quotas) awaitMarks(ctx context.Context) (busyMarks, bool) {
	for ctx.Err() == nil {
		if q.hasTenants() {
			if marks, err := q.getMarks(ctx); err == nil {
				return marks, true
			}
		}
		clock.Sleep(ctx, reserveRetryPause)
	}
	return busyMarks{}, false
}

// getMarks reads the stored marks once. If the list can't be parsed, all tenants count as marked.
func (q *quotas) getMarks(ctx context.Context) (busyMarks, error) {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, found, err := q.r.adapter.Store.Get(bounded, KeyPrefix+busyTenantsKey)
	if err != nil || !found {
		return busyMarks{}, err
	}
	marks := busyMarks{revision: item.Revision}
	if err := json.Unmarshal(item.Value, &marks); err != nil {
		q.r.log.Line(decision.KindTenantsBusy).Int64("revision", int64(item.Revision)).Err(err).Msg("invalid list of busy tenants; all tenants count as busy")
		marks.Tenants = slices.Sorted(maps.Keys(q.r.proxy.Config().Tenants))
	}
	return marks, nil
}

// storeMarks adds tenants to the stored marks and removes those that are no longer busy; false if
// the write is not known to have succeeded. Tenants that no longer exist are dropped.
func (q *quotas) storeMarks(ctx context.Context, tenure *election.Tenure, marks *busyMarks, toMark, toUnmark []routing.TenantName) bool {
	known := q.r.proxy.Config().Tenants
	tenants := slices.DeleteFunc(slices.Concat(marks.Tenants, toMark), func(name routing.TenantName) bool {
		return known[name] == nil || slices.Contains(toUnmark, name)
	})
	slices.Sort(tenants)
	fresh := busyMarks{Tenants: slices.Compact(tenants)}
	value, err := json.Marshal(fresh)
	if err != nil {
		panic(err) // can't fail on plain data
	}
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	fresh.revision, err = q.r.adapter.Store.Commit(bounded, coord.Txn{
		Conditions: []coord.Condition{
			{Key: q.r.election.LeaderKey(), Revision: tenure.Leader.Revision}, {Key: KeyPrefix + busyTenantsKey, Revision: marks.revision},
		},
		Puts: []coord.Put{{Key: KeyPrefix + busyTenantsKey, Value: value}},
	})
	if err == nil {
		*marks = fresh
		return true
	}
	if errors.Is(err, coord.ErrConflict) { // an earlier write of this leader was applied without an acknowledgement
		if stored, err := q.getMarks(ctx); err == nil {
			*marks = stored
		}
	}
	return false
}
