package proxy

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/lab/link"
	"github.com/shalefork/shalefork/internal/routing"
)

// Renewals of workers' holds cross a link between regions within 50 ms while callers in a region
// without workers request large answers at ten times the link's rate. Without bulkLimiter the
// answers queued on the link delayed renewals by 400 ms.
func TestLargeBodiesDoNotDelayRenewals(t *testing.T) {
	const (
		routers      = 4
		callers      = 24 // per router; each sends its next request immediately
		answerBytes  = 90_000
		perSecond    = 62e6 / 8
		duration     = 2 * time.Second
		renewalEvery = 10 * time.Millisecond
		maxQueued    = 50 * time.Millisecond
		// A sample of the queue that took longer than prompt was interrupted, and would count the
		// interruption as queueing time. Of about 200 samples at least minSamples must have been
		// prompt.
		prompt     = 2 * time.Millisecond
		minSamples = 50
	)
	large := strings.Repeat("x", answerBytes)
	far := newFakeWorker(t, "w1", alwaysAnswer(large))
	rate := link.NewBandwidth(perSecond)
	between, err := link.New("127.0.0.1:0", far.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(between.Close)
	between.SetBandwidth(nil, rate)
	entry := far.entry("pool")
	entry.Address, entry.Zone, entry.Slots = between.Address(), "far", 1000
	started := time.Now()
	var proxies []*testProxy
	for index := range routers {
		f := newTestProxy(t, entry)
		f.proxy.SetTopology(twoRegions)
		f.proxy.Nodes.Store(routers)
		config := testConfig(t, 2)
		config.Match("app.example", "/safe/").Class = routing.BulkDownload
		assert.Assert(t, f.proxy.Use(config))
		// The routers' first sends are spaced evenly here instead of randomly, so that the result
		// does not depend on chance.
		interval := time.Duration(answerBytes * routers * time.Second / bulkLinkRate)
		f.proxy.fleet.bulkLimiter.next = started.Add(interval * time.Duration(index) / routers)
		proxies = append(proxies, f)
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for _, f := range proxies {
		for range callers {
			request := f.request(t, "GET", "/safe/", "")
			running.Go(func() {
				for time.Since(started) < duration {
					response, err := http.DefaultClient.Do(request)
					if err != nil {
						continue
					}
					_ = response.Body.Close()
					mu.Lock()
					statuses[response.StatusCode]++
					mu.Unlock()
				}
			})
		}
	}
	longest, samples := time.Duration(0), 0
	for time.Since(started) < duration {
		now := time.Now()
		queued := rate.QueueDelay(now)
		if time.Since(now) <= prompt {
			longest = max(longest, queued)
			samples++
		}
		time.Sleep(renewalEvery)
	}
	running.Wait()
	assert.Assert(t, samples >= minSamples, "only %d samples were prompt", samples)
	assert.Assert(t, longest <= maxQueued, "a renewal would have waited %s", longest)
	assert.Assert(t, statuses[http.StatusOK] > 0, "%v", statuses)
	assert.Assert(t, statuses[http.StatusServiceUnavailable] > 0, "%v", statuses)
}
