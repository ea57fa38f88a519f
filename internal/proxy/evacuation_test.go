package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	other := newFakeWorker(t, "w2", alwaysAnswer("y"))
	far := other.entry("pool")
	far.Zone = "far"
	f := newTestProxy(t, w.entry("pool"), far)
	f.directory.SetEvacuated([]string{"z"}, time.Now())
	for range 5 {
		_, body := f.get(t, "GET", "/safe/", "")
		assert.Equal(t, body, "y")
	}
	f.directory.SetEvacuated([]string{"z", "far"}, time.Now())
	response, _ := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, w.receivedCount(), 0)
	f.directory.SetEvacuated([]string{"far"}, time.Now())
	_, body := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, body, "x")
}

func TestOwnersInEvacuatedZoneReceiveRequestsBriefly(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	entry := w.entry("keyed")
	f := newTestProxy(t, entry)
	f.assignAllKeys(entry)
	f.proxy.EvacuationPeriod = 2 * time.Second
	for name, c := range map[string]struct {
		since  time.Time
		status int
	}{
		"just now":            {since: time.Now(), status: http.StatusOK},
		"half the period ago": {since: time.Now().Add(-time.Second), status: http.StatusServiceUnavailable},
		"at an unknown time":  {status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f.directory.SetEvacuated(nil, time.Time{})
			f.directory.SetEvacuated([]string{"z"}, c.since)
			response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
			assert.Equal(t, response.StatusCode, c.status)
		})
	}
}
