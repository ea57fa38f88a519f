package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

func TestUnreadHeadersAreCountedByName(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusOK, "x", "X-New-Word: secret", "Content-Type: text/plain", "X-Load: 1,0,2")
		return true
	})
	f := newTestProxy(t, w.entry("pool"))
	for range 3 {
		f.get(t, "GET", "/safe/", "")
	}
	registry, counts := prometheus.NewRegistry(), map[string]float64{}
	registry.MustRegister(f.proxy.Metrics.unread)
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, metric := range families[0].GetMetric() {
		counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
	}
	assert.DeepEqual(t, counts, map[string]float64{"X-New-Word": 3}) // headers that the router reads, and common ones for callers, do not count
}

func TestUnreadHeaderNamesAreBounded(t *testing.T) {
	u := newUnreadHeaders()
	for index := range 2 * maxUnreadNames {
		label, first := u.record(workerHeader{"w", fmt.Sprint("X-", index)})
		assert.Assert(t, first)
		assert.Equal(t, label == otherHeadersLabel, index >= maxUnreadNames)
	}
	_, again := u.record(workerHeader{"w", "X-1"})
	assert.Assert(t, !again, "one log line per worker and name")
	for index := range 2 * maxUnreadSenders {
		u.record(workerHeader{workers.ID(fmt.Sprint(index)), "X-1"})
	}
	assert.Equal(t, len(u.senders), maxUnreadSenders)
}

// A worker that sends a long name in each answer made routers hold and show all of them.
func TestLongUnreadHeaderNamesAreNotKept(t *testing.T) {
	u := newUnreadHeaders()
	label, first := u.record(workerHeader{"w", strings.Repeat("X", maxUnreadNameBytes+1)})
	assert.Equal(t, label, otherHeadersLabel)
	assert.Assert(t, !first)
	assert.Equal(t, len(u.senders)+len(u.names), 0)
}
