package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
)

func TestTenantSeriesAreBounded(t *testing.T) {
	counters := newTenantCounters()
	registry := prometheus.NewRegistry()
	registry.MustRegister(counters.requests)
	for range 2 {
		for index := range maxTenantSeries + 50 {
			counters.recordEnd(routing.TenantName(fmt.Sprint("t", index)), http.StatusOK)
		}
	}
	families, err := registry.Gather()
	assert.NilError(t, err)
	series := families[0].GetMetric()
	assert.Equal(t, len(series), maxTenantSeries+1)
	sum := 0.0
	for _, one := range series {
		sum += one.GetCounter().GetValue()
	}
	assert.Equal(t, sum, 2.0*(maxTenantSeries+50), "the sum must include all requests")
}

func TestTenantRequestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		want   string
	}{
		"served":                {http.StatusOK, endServed},
		"refused by the worker": {http.StatusNotFound, endServed},
		"over the quota":        {http.StatusTooManyRequests, endRefused},
		"no worker":             {http.StatusServiceUnavailable, endRefused},
		"answer lost":           {http.StatusBadGateway, endFailed},
		"caller disconnected":   {0, endFailed},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, endOf(test.status), test.want) })
	}
}
