package proxy

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

func TestSwapsKeepTheWeights(t *testing.T) {
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
			route := &routing.Route{Parts: []routing.Part{{Service: "keyed", Weight: test.weights[0]}, {Service: "pool", Weight: test.weights[1]}}}
			splitter := routing.NewSplitter(func(int) int { return 0 })
			s := newSwaps()
			dealt, crossed := 0, 0
			const requests = 4000
			for index := range requests {
				far := index*7%13%2 == 1 // owners alternate out of step with the weights
				if s.pick(route, splitter.Pick(route), isKeyed, func(routing.ServiceName) bool { return far }) == "keyed" {
					dealt++
					if far {
						crossed++
					}
				}
			}
			want := requests * test.weights[0] / (test.weights[0] + test.weights[1])
			assert.Assert(t, dealt <= want+mostOwed && dealt >= want-mostOwed, "%d of %d", dealt, want)
			assert.Assert(t, crossed <= test.crossing, "%d crossed", crossed)
		})
	}
}

// Downloads whose owner is far go to the route's pool, and the pool's to near owners.
func TestDownloadsStayInTheRegion(t *testing.T) {
	near, far, pool := newWorker(t, "w1", answers("n")), newWorker(t, "w2", answers("f")), newWorker(t, "w3", answers("p"))
	abroad := far.entry("keyed")
	abroad.Zone = "far"
	f := newFront(t, near.entry("keyed"), abroad, pool.entry("pool"))
	f.proxy.Locate(twoRegions)
	config := testConfig(t, 2)
	route := config.Match("app.example", "/safe/")
	route.Class = routing.BulkDown
	route.Parts = []routing.Part{{Service: "keyed", Weight: 1}, {Service: "pool", Weight: 1}}
	assert.Assert(t, f.proxy.Use(config))
	half := owner.KeyCount / 2
	f.proxy.Table.Replace(1, "keyed", []owner.Owner{
		{Keys: owner.Keys{From: 0, To: half - 1}, Worker: "w1", Address: near.listener.Addr().String()},
		{Keys: owner.Keys{From: half, To: owner.KeyCount - 1}, Worker: "w2", Address: far.listener.Addr().String()},
	})
	for range 10 {
		for _, key := range []string{"65000", "65000", "7", "7"} {
			response, _ := f.get(t, "GET", "/safe/", "", "X-Key", key)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
	}
	assert.Equal(t, far.arrivals(), 0)
	assert.Assert(t, near.arrivals() >= 18 && pool.arrivals() >= 18, "%d and %d", near.arrivals(), pool.arrivals())
}
