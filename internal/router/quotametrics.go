package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
)

// maxTenantSeries is for how many tenants, those with the highest limits, metrics have a series per
// tenant, so that a router's metrics stay readable with thousands of tenants. The others are
// summed.
const maxTenantSeries = 100

// otherTenants is the label of the summed series. No tenant has an empty name.
const otherTenants = ""

var (
	quotaLimit   = tenantSeries("limit", "Requests of a tenant that may run within a window, over all routers together.")
	quotaCredit  = tenantSeries("credit", "How many of them this router may have run.")
	quotaUsed    = tenantSeries("used", "How many of them this router has had run.")
	quotaGranted = tenantSeries("granted_total", "Requests of a tenant that were within its limit here.")
	quotaRefused = tenantSeries("refused_total", "Requests of a tenant that were refused since it was beyond its limit.")
)

func tenantSeries(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("shalefork_router_quota_"+name, help+" An empty tenant stands for all that are not named.", []string{"tenant"}, nil)
}

// Describe implements prometheus.Collector.
func (q *quotas) Describe(to chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{quotaLimit, quotaCredit, quotaUsed, quotaGranted, quotaRefused} {
		to <- desc
	}
}

// Collect implements prometheus.Collector.
func (q *quotas) Collect(to chan<- prometheus.Metric) {
	for _, usage := range capSeries(q.holder.Usages(clock.Now())) {
		gauge := func(desc *prometheus.Desc, value int) {
			to <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), string(usage.Tenant))
		}
		counter := func(desc *prometheus.Desc, value uint64) {
			to <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), string(usage.Tenant))
		}
		gauge(quotaLimit, usage.Limit)
		gauge(quotaCredit, usage.Credit)
		gauge(quotaUsed, usage.Used)
		counter(quotaGranted, usage.Granted)
		counter(quotaRefused, usage.Refused)
	}
}

// capSeries replaces the usages after the first maxTenantSeries by their sum.
func capSeries(usages []quota.Usage) []quota.Usage {
	if len(usages) <= maxTenantSeries {
		return usages
	}
	rest := quota.Usage{Tenant: routing.TenantName(otherTenants)}
	for _, usage := range usages[maxTenantSeries:] {
		rest.Limit += usage.Limit
		rest.Credit += usage.Credit
		rest.Used += usage.Used
		rest.Granted += usage.Granted
		rest.Refused += usage.Refused
	}
	return append(usages[:maxTenantSeries:maxTenantSeries], rest)
}
