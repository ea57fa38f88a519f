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
		// crossing is the most of 4,000 requests that may cross where half of the keys' owners
		// stand in the other region.
		crossing int
	}{
		"a quarter by key": {[2]int{1, 3}, 8},
		"half by key":      {[2]int{1, 1}, 150},
		"most by key":      {[2]int{9, 1}, 1700},
		"the pool is off":  {[2]int{1, 0}, 2100},
	} {
		t.Run(name, func(t *testing.T) {
			route := &routing.Route{Services: []routing.WeightedService{{Service: "keyed", Weight: test.weights[0]}, {Service: "pool", Weight: test.weights[1]}}}
			splitter := routing.NewSplitter(func(int) int { return 0 })
			s := newSwaps()
			dealt, crossed := 0, 0
			const requests = 4000
			for index := range requests {
				far := index*7%13%2 == 1 // owners alternate out of step with the weights
				where := func(name routing.ServiceName) serviceLocation {
					if isKeyed(name) && far {
						return inOtherRegion
					}
					return inSameRegion
				}
				if s.pick(route, splitter.Pick(route), isKeyed, where) == "keyed" {
					dealt++
					if far {
						crossed++
					}
				}
			}
			want := requests * test.weights[0] / (test.weights[0] + test.weights[1])
			assert.Assert(t, dealt <= want+maxOwed && dealt >= want-maxOwed, "%d of %d", dealt, want)
			assert.Assert(t, crossed <= test.crossing, "%d crossed", crossed)
		})
	}
}

// Downloads whose owner is far go to the route's pool, and the pool's to near owners.
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

// A request is exchanged only for one that the other part can serve in the region: one without a
// key was sent to the part that is divided by key, where it is malformed, and one whose key moved
// waited there, while the pool that it was dealt to was free.
func TestSwapsRequireServableRequests(t *testing.T) {
	isKeyed := func(name routing.ServiceName) bool { return name == "keyed" }
	route := &routing.Route{Services: []routing.WeightedService{{Service: "keyed", Weight: 1}, {Service: "pool", Weight: 1}}}
	for name, test := range map[string]struct {
		dealt       routing.ServiceName
		keyed, pool serviceLocation
		want        routing.ServiceName
	}{
		"far owner":                    {"keyed", inOtherRegion, inSameRegion, "pool"},
		"near owner":                   {"keyed", inSameRegion, inSameRegion, "keyed"},
		"no owner":                     {"keyed", notServed, inSameRegion, "keyed"},
		"far owner, no pool":           {"keyed", inOtherRegion, notServed, "keyed"},
		"far owner, far pool":          {"keyed", inOtherRegion, inOtherRegion, "keyed"},
		"the pool's, near owner":       {"pool", inSameRegion, inSameRegion, "keyed"},
		"the pool's, far owner":        {"pool", inOtherRegion, inSameRegion, "pool"},
		"the pool's, no key or owner":  {"pool", notServed, inSameRegion, "pool"},
		"the pool's, which has no one": {"pool", inSameRegion, notServed, "keyed"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSwaps()
			s.owed[partPair{route, "keyed", "pool"}] = 1
			where := func(name routing.ServiceName) serviceLocation {
				if isKeyed(name) {
					return test.keyed
				}
				return test.pool
			}
			assert.Equal(t, s.pick(route, test.dealt, isKeyed, where), test.want)
		})
	}
}

// What was exchanged for a far owner's request is not made up for by one that has no key, or
// whose key's owner is not there.
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
