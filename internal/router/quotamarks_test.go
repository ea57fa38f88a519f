package router

import (
	"context"
	"crypto/rand"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
)

// A tenant that requests nearly all that is allocated to an unmarked tenant gets its whole limit
// once the mark is stored, where the next leader reads it.
func TestBusyTenantsAreMarkedBeforeMoreIsAllocated(t *testing.T) {
	for name, test := range map[string]struct {
		// deposed is whether another leader was elected; stored is what the store contains.
		deposed bool
		stored  string
		marked  []routing.TenantName
	}{
		"the store answers":          {marked: []routing.TenantName{"a"}},
		"another leader was elected": {deposed: true},
		"another tenant is marked":   {stored: `{"tenants":["b","gone"]}`, marked: []routing.TenantName{"a", "b"}},
		"the list is invalid":        {stored: "?", marked: []routing.TenantName{"a", "b"}},
		"it is already marked":       {stored: `{"tenants":["a"]}`, marked: []routing.TenantName{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, store := newCutOffRouter(t)
				r.quotas.bound = quota.Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20} // 75 are allowed, 45 allocated
				config, err := new(routing.Config).WithTenants(map[routing.TenantName]*routing.Tenant{
					"a": {Name: "a", Rate: 10}, "b": {Name: "b", Rate: 10},
				})
				assert.NilError(t, err)
				config.Version = 1
				assert.Assert(t, r.proxy.Use(config))
				if test.stored != "" {
					_, err = store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{{Key: KeyPrefix + busyTenantsKey, Value: []byte(test.stored)}}})
					assert.NilError(t, err)
				}
				r.election = election.New(store, KeyPrefix, "a:1", "process", rand.Text)
				tenure, err := r.election.Campaign(t.Context(), 0)
				assert.NilError(t, err)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				coordinator := quota.NewCoordinator(clock.Now(), 2, false, r.quotas.bound)
				coordinator.SetTenants(clock.Now(), config.Tenants)
				if test.deposed {
					tenure.Leader.Revision++
				}
				go r.quotas.keepMarks(ctx, tenure, coordinator)
				time.Sleep(50 * time.Millisecond)
				wantAll(r, coordinator)
				time.Sleep(3 * marksInterval)
				r.quotas.mu.Lock()
				assert.Equal(t, len(coordinator.TenantsToMark()) == 0, !test.deposed)
				r.quotas.mu.Unlock()
				if test.deposed {
					return
				}
				marks, err := r.quotas.getMarks(t.Context())
				assert.NilError(t, err)
				assert.DeepEqual(t, marks.Tenants, test.marked)
			})
		})
	}
}

// wantAll lets a router that has just joined use nearly all of tenant "a".
func wantAll(r *Router, coordinator *quota.Coordinator) {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	now := clock.Now()
	coordinator.HandleReport(now, quota.Report{Node: "n", StartTime: 1, Sequence: 1, Full: true, Stamp: 1, Tenants: map[routing.TenantName]quota.TenantReport{"a": {44, 0, 45}}})
	coordinator.Tick(now, true, 1)
}
