package quota

import (
	"testing"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

func BenchmarkAcquire(b *testing.B) {
	tenant := &routing.Tenant{Name: "tenant-17", Rate: 1e6, Burst: 1e6}
	now := time.Unix(1000, 0)
	h := NewHolder(now, "node", 1, Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20})
	h.SetTenants(tenants(tenant))
	units := h.bound.Allowed(tenant)
	h.ApplyGrant(now, Grant{Node: "node", StartTime: 1, Term: 1, Sequence: 1, Stamp: 1, Credits: map[routing.TenantName]Credit{tenant.Name: {units, units, 0}}})
	b.ReportAllocs()
	for b.Loop() {
		h.Acquire(now, tenant)
		now = now.Add(time.Microsecond)
	}
}
