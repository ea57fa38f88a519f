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

// Renewals of what workers hold cross a link between regions within 50 ms while callers of a
// region without workers want ten times the link for large answers. Without the gate the answers
// that wait on the link held renewals up for 400 ms.
func TestLargeBodiesDoNotDelayRenewals(t *testing.T) {
	const (
		routers      = 4
		callers      = 24 // for each router; they ask again at once
		answerBytes  = 90_000
		perSecond    = 62e6 / 8
		lasts        = 2 * time.Second
		renewalEvery = 10 * time.Millisecond
		mostQueued   = 50 * time.Millisecond
		// A look at the queue that took longer than prompt was interrupted, and counts the
		// interruption as queue; leastLooks of about 200 must have been prompt.
		prompt     = 2 * time.Millisecond
		leastLooks = 50
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
	var fronts []*testProxy
	for index := range routers {
		f := newTestProxy(t, entry)
		f.proxy.SetTopology(twoRegions)
		f.proxy.Nodes.Store(routers)
		config := testConfig(t, 2)
		config.Match("app.example", "/safe/").Class = routing.BulkDownload
		assert.Assert(t, f.proxy.Use(config))
		// Turns are taken evenly here, where they are random else: chance must not decide.
		pause := time.Duration(answerBytes * routers * time.Second / bulkLinkRate)
		f.proxy.fleet.bulkLimiter.next = started.Add(pause * time.Duration(index) / routers)
		fronts = append(fronts, f)
	}
	var asks sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for _, f := range fronts {
		for range callers {
			request := f.request(t, "GET", "/safe/", "")
			asks.Go(func() {
				for time.Since(started) < lasts {
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
	longest, looks := time.Duration(0), 0
	for time.Since(started) < lasts {
		now := time.Now()
		queued := rate.QueueDelay(now)
		if time.Since(now) <= prompt {
			longest = max(longest, queued)
			looks++
		}
		time.Sleep(renewalEvery)
	}
	asks.Wait()
	assert.Assert(t, looks >= leastLooks, "only %d looks were prompt", looks)
	assert.Assert(t, longest <= mostQueued, "a renewal would have waited %s", longest)
	assert.Assert(t, statuses[http.StatusOK] > 0, "%v", statuses)
	assert.Assert(t, statuses[http.StatusServiceUnavailable] > 0, "%v", statuses)
}
