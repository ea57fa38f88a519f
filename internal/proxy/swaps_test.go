package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

func TestSwapsPreserveWeights(t *testing.T) {
	isKeyed := func(name routing.ServiceName) bool { return name == "keyed" }
	for name, test := range map[string]struct {
		weights [2]int // of the keyed part and of the pool
		// maxCrossed is the maximum number of 4,000 requests that may cross if half of the keys'
		// owners are in the other region.
		maxCrossed int
	}{
		"a quarter by key":    {[2]int{1, 3}, 8},
		"half by key":         {[2]int{1, 1}, 150},
		"most by key":         {[2]int{9, 1}, 1700},
		"pool without weight": {[2]int{1, 0}, 2100},
	} {
		t.Run(name, func(t *testing.T) {
			route := &routing.Route{Services: []routing.WeightedService{{Service: "keyed", Weight: test.weights[0]}, {Service: "pool", Weight: test.weights[1]}}}
			splitter := routing.NewSplitter(func(int) int { return 0 })
			s := newSwaps()
			toKeyed, crossed := 0, 0
			const requests = 4000
			for index := range requests {
				far := index*7%13%2 == 1 // owners alternate with a period different from that of the weights
				locate := func(name routing.ServiceName) serviceLocation {
					if isKeyed(name) && far {
						return inOtherRegion
					}
					return inSameRegion
				}
				if s.pick(route, splitter.Pick(route), isKeyed, locate) == "keyed" {
					toKeyed++
					if far {
						crossed++
					}
				}
			}
			want := requests * test.weights[0] / (test.weights[0] + test.weights[1])
			assert.Assert(t, toKeyed <= want+maxOwed && toKeyed >= want-maxOwed, "%d of %d", toKeyed, want)
			assert.Assert(t, crossed <= test.maxCrossed, "%d crossed", crossed)
		})
	}
}

// Downloads whose owner is in another region go to the route's pool, and downloads of the pool go
// to owners in the local region.
func TestDownloadsStayInTheRegion(t *testing.T) {
	near, far, pool := newFakeWorker(t, "w1", alwaysAnswer("n")), newFakeWorker(t, "w2", alwaysAnswer("f")), newFakeWorker(t, "w3", alwaysAnswer("p"))
	abroad := far.entry("keyed")
	abroad.Zone = "far"
	f := newTestProxy(t, near.entry("keyed"), abroad, pool.entry("pool"))
	f.proxy.SetTopology(twoRegions)
	config := testConfig(t, 2)
	route := config.Match("app.example", "/safe/")
	route.Class = routing.BulkDownload
	route.Services = []routing.WeightedService{{Service: "keyed", Weight: 1}, {Service: "pool", Weight: 1}}
	assert.Assert(t, f.proxy.Use(config))
	half := owner.KeyCount / 2
	f.proxy.Table.Replace(1, "keyed", []owner.Owner{
		{Keys: owner.KeyRange{From: 0, To: half - 1}, Worker: "w1", Address: near.listener.Addr().String()},
		{Keys: owner.KeyRange{From: half, To: owner.KeyCount - 1}, Worker: "w2", Address: far.listener.Addr().String()},
	})
	for range 10 {
		for _, key := range []string{"65000", "65000", "7", "7"} {
			response, _ := f.get(t, "GET", "/safe/", "", "X-Key", key)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
	}
	assert.Equal(t, far.receivedCount(), 0)
	assert.Assert(t, near.receivedCount() >= 18 && pool.receivedCount() >= 18, "%d and %d", near.receivedCount(), pool.receivedCount())
}

// A request is exchanged only if the other part can serve it in the local region. Otherwise a
// request without a key would be sent to the keyed part, where it is malformed, and one whose key
// is moving would wait there although the pool that it was assigned to is free.
func TestSwapsRequireServableRequests(t *testing.T) {
	isKeyed := func(name routing.ServiceName) bool { return name == "keyed" }
	route := &routing.Route{Services: []routing.WeightedService{{Service: "keyed", Weight: 1}, {Service: "pool", Weight: 1}}}
	for name, test := range map[string]struct {
		picked      routing.ServiceName
		keyed, pool serviceLocation
		want        routing.ServiceName
	}{
		"far owner":                   {"keyed", inOtherRegion, inSameRegion, "pool"},
		"near owner":                  {"keyed", inSameRegion, inSameRegion, "keyed"},
		"no owner":                    {"keyed", notServed, inSameRegion, "keyed"},
		"far owner, no pool":          {"keyed", inOtherRegion, notServed, "keyed"},
		"far owner, far pool":         {"keyed", inOtherRegion, inOtherRegion, "keyed"},
		"the pool's, near owner":      {"pool", inSameRegion, inSameRegion, "keyed"},
		"the pool's, far owner":       {"pool", inOtherRegion, inSameRegion, "pool"},
		"the pool's, no key or owner": {"pool", notServed, inSameRegion, "pool"},
		"the pool's, no worker":       {"pool", inSameRegion, notServed, "keyed"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSwaps()
			s.owed[partPair{route, "keyed", "pool"}] = 1
			locate := func(name routing.ServiceName) serviceLocation {
				if isKeyed(name) {
					return test.keyed
				}
				return test.pool
			}
			assert.Equal(t, s.pick(route, test.picked, isKeyed, locate), test.want)
		})
	}
}

// An exchange is not compensated for by a request without a key, or with a key whose owner is not
// available.
func TestUnservableKeyIsNotSwapped(t *testing.T) {
	for name, test := range map[string]struct {
		key   string
		owner workers.ID
	}{
		"no key":        {owner: "w1"},
		"no owner":      {key: "7"},
		"owner is gone": {key: "7", owner: "w9"},
	} {
		t.Run(name, func(t *testing.T) {
			near, pool := newFakeWorker(t, "w1", alwaysAnswer("n")), newFakeWorker(t, "w3", alwaysAnswer("p"))
			f := newTestProxy(t, near.entry("keyed"), pool.entry("pool"))
			f.proxy.SetTopology(twoRegions)
			config := testConfig(t, 2)
			route := config.Match("app.example", "/safe/")
			route.Class = routing.BulkDownload
			route.Services = []routing.WeightedService{{Service: "keyed", Weight: 1}, {Service: "pool", Weight: 99}}
			assert.Assert(t, f.proxy.Use(config))
			if test.owner != "" {
				f.proxy.Table.Replace(1, "keyed", []owner.Owner{{Keys: owner.KeyRange{From: 0, To: owner.KeyCount - 1}, Worker: test.owner}})
			}
			c := &call{proxy: f.proxy, config: config, route: route, request: httptest.NewRequest("GET", "/safe/", nil)}
			if test.key != "" {
				c.request.Header.Set("X-Key", test.key)
			}
			assert.Equal(t, c.locateService("keyed"), notServed)
			assert.Equal(t, c.locateService("pool"), inSameRegion)
		})
	}
}
