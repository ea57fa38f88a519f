package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
)

// Guards against refusing all requests permanently after the router was suspended: it then measures
// its workers as slow, and gets no new measurements while it sends them no requests.
func TestFormerlySlowWorkerIsTriedAgain(t *testing.T) {
	for service, path := range map[string]string{"keyed": "/keyed/", "pool": "/safe/"} {
		for name, test := range map[string]struct {
			ago    time.Duration
			status int
		}{
			"just now": {status: http.StatusServiceUnavailable},
			"long ago": {ago: 15 * time.Second, status: http.StatusOK},
		} {
			t.Run(service+", "+name, func(t *testing.T) {
				w := newFakeWorker(t, "w1", alwaysAnswer("x"))
				f := newTestProxy(t, w.entry(service))
				f.assignAllKeys(w.entry(service))
				slow := f.proxy.fleet.get(w.entry(service))
				for range 10 {
					slow.latency.Add(clock.Now().Add(-test.ago), 5*time.Second, defaultLatency)
				}
				response, _ := f.get(t, "GET", path, "", "X-Key", "7")
				assert.Equal(t, response.StatusCode, test.status)
			})
		}
	}
}
