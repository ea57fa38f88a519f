package proxy

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/routing"
)

// maxTenantSeries is how many tenants have series of their own in one process; the others are
// counted together. Four series each are a third of what a router shows besides.
const maxTenantSeries = 100

// otherTenantsLabel is the label of those that are counted together. No tenant has that name: a label of
// a tenant with it would stand for the others too, and only in the sum.
const otherTenantsLabel = "(others)"

// Ends of a tenant's request.
const (
	endServed  = "served"
	endRefused = "refused"
	endFailed  = "failed"
)

// tenantCounters count the ends of requests by tenant. It is safe for concurrent use.
type tenantCounters struct {
	requests *prometheus.CounterVec
	// overShare counts those refused for their tenant's share.
	overShare *prometheus.CounterVec
	mu        sync.RWMutex
	// named are the tenants that have series of their own: those that asked first.
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

// ended counts the end of a request.
func (t *tenantCounters) recordEnd(name routing.TenantName, status int) {
	t.requests.WithLabelValues(t.label(name), endOf(status)).Inc()
}

// label returns what a tenant is counted as.
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

// endOf returns how a request ended, by its status; zero: its caller left.
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
