package proxy

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
	"github.com/shalefork/shalefork/internal/workers"
)

// BenchmarkDemand measures the cost of counting a request for its tenant's share; BenchmarkRequest
// measures that of a whole request.
func BenchmarkDemand(b *testing.B) {
	p := New("z", workers.NewDirectory(), BudgetLimits{})
	p.Metrics = NewMetrics(prometheus.NewRegistry())
	for name, active := range map[string]*activeConfig{"without tenants": {}, "with tenants": {keys: &tenant.Index{}, defaultWeight: 1}} {
		b.Run(name, func(b *testing.B) {
			service := &routing.Service{Name: routing.ServiceName(name)}
			c := &call{proxy: p, service: service, state: p.fleet.service(service), route: &routing.Route{}}
			b.ReportAllocs()
			for b.Loop() {
				c.began = clock.Now()
				c.recordDemand(active)
				if c.claim.yields {
					b.Fatal("request yields although there is capacity")
				}
			}
		})
	}
}
