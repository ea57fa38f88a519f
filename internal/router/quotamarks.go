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

// busyTenantsKey is where the tenants stand that are marked as busy.
const busyTenantsKey = "quota-busy"

// marksInterval is the pause between looks for tenants that are to be marked: well within unitTimeout, so
// that a request that waits for a unit sees what the mark brings.
const marksInterval = 100 * time.Millisecond

// busyMarks are the tenants that are marked as busy in the store: a leader deals all that is
// allowed of them, so the next one can deal nothing before it knows what routers hold.
type busyMarks struct {
	Tenants []routing.TenantName `json:"tenants"`
	// revision of the stored list; zero if there is none.
	revision coord.Revision
}

// keepMarks tells a coordinator which tenants are marked, lets it deal what no leader before can
// have dealt, and marks tenants that ask for more than is dealt of a calm one, until ctx ends. A
// mark is stored before more is dealt, and taken off once no more is booked than of a calm one.
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
		wanted, cooled := coordinator.TenantsToMark(), coordinator.TenantsToUnmark()
		q.mu.Unlock()
		if len(wanted)+len(cooled) > 0 && q.storeMarks(ctx, tenure, &marks, wanted, cooled) {
			q.mark(coordinator, wanted)
			q.unmark(coordinator, cooled)
			q.r.log.Line(decision.KindQuotaBusy).Int("tenants", len(wanted)).Int("cooled", len(cooled)).
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

// loadMarks reads the stored marks; false if ctx ended before.
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

// getMarks reads them once. A list that can't be read marks all tenants.
func (q *quotas) getMarks(ctx context.Context) (busyMarks, error) {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, found, err := q.r.adapter.Store.Get(bounded, KeyPrefix+busyTenantsKey)
	if err != nil || !found {
		return busyMarks{}, err
	}
	marks := busyMarks{revision: item.Revision}
	if err := json.Unmarshal(item.Value, &marks); err != nil {
		q.r.log.Line(decision.KindQuotaBusy).Int64("revision", int64(item.Revision)).Err(err).Msg("can't be read; all tenants count as busy")
		marks.Tenants = slices.Sorted(maps.Keys(q.r.proxy.Config().Tenants))
	}
	return marks, nil
}

// storeMarks adds tenants to the stored marks and takes off those that have cooled down; false if
// that is not known to be done. Tenants that are no longer known are left out.
func (q *quotas) storeMarks(ctx context.Context, tenure *election.Tenure, marks *busyMarks, wanted, cooled []routing.TenantName) bool {
	known := q.r.proxy.Config().Tenants
	tenants := slices.DeleteFunc(slices.Concat(marks.Tenants, wanted), func(name routing.TenantName) bool {
		return known[name] == nil || slices.Contains(cooled, name)
	})
	slices.Sort(tenants)
	fresh := busyMarks{Tenants: slices.Compact(tenants)}
	value, err := json.Marshal(fresh)
	if err != nil {
		panic(err) // plain data
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
	if errors.Is(err, coord.ErrConflict) { // an earlier write of this leader was done unseen
		if stored, err := q.getMarks(ctx); err == nil {
			*marks = stored
		}
	}
	return false
}
