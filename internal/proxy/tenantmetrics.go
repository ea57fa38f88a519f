package proxy

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/routing"
)

// maxTenantSeries is the maximum number of tenants with separate metric series in one process; the
// others are counted together. At four series each, these are a third of a router's other series.
const maxTenantSeries = 100

// otherTenantsLabel is the label of the tenants that are counted together. No tenant can have this
// name; otherwise its series would include the other tenants.
const otherTenantsLabel = "(others)"

// Values of the label "end" for a tenant's requests.
const (
	endServed  = "served"
	endRefused = "refused"
	endFailed  = "failed"
)

// tenantCounters counts the ends of requests by tenant. It is safe for concurrent use.
type tenantCounters struct {
	requests *prometheus.CounterVec
	// overShare counts the requests refused because of their tenant's share.
	overShare *prometheus.CounterVec
	mu        sync.RWMutex
	// named contains the tenants with separate series: those that sent requests first.
	named map[routing.TenantName]bool
}

func newTenantCounters() *tenantCounters {
	return &tenantCounters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_tenant_requests_total",
			Help: "Requests of tenants by their end: served, refused (429, 503 and the like) or failed; tenants over the bound are (others).",
		}, []string{"tenant", "end"}),
		overShare: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_tenant_over_share_total",
			Help: "Requests refused since workers were short and their tenant asked for more than its share; tenants over the bound are (others).",
		}, []string{"tenant"}),
		named: map[routing.TenantName]bool{},
	}
}

// recordEnd counts the end of a request.
func (t *tenantCounters) recordEnd(name routing.TenantName, status int) {
	t.requests.WithLabelValues(t.label(name), endOf(status)).Inc()
}

// label returns the label under which a tenant is counted.
func (t *tenantCounters) label(name routing.TenantName) string {
	t.mu.RLock()
	known := t.named[name]
	t.mu.RUnlock()
	if known {
		return string(name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.named) >= maxTenantSeries && !t.named[name] {
		return otherTenantsLabel
	}
	t.named[name] = true
	return string(name)
}

// endOf returns the end of a request by its status; zero means that the caller disconnected.
func endOf(status int) string {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		return endRefused
	case status == 0, status >= http.StatusInternalServerError:
		return endFailed
	}
	return endServed
}
