package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// twoRegions assigns the zone of the tests' processes to one region and the zone "far" to another.
var twoRegions = topology.New(map[topology.Zone]topology.Region{"z": "near", "far": "abroad"})

// restrictRegions restricts the routes to the given regions.
func (f *testProxy) restrictRegions(t *testing.T, version routing.Version, regions ...topology.Region) {
	t.Helper()
	config := testConfig(t, version)
	for _, prefix := range []string{"/safe/", "/unsafe/", "/keyed/"} {
		config.Match("app.example", prefix).Regions = regions
	}
	assert.Assert(t, f.proxy.Use(config))
}

func TestPoolsServeInAllowedRegionsOnly(t *testing.T) {
	near, far := newFakeWorker(t, "w1", alwaysAnswer("near")), newFakeWorker(t, "w2", alwaysAnswer("far"))
	abroad := far.entry("pool")
	abroad.Zone = "far"
	for name, test := range map[string]struct {
		list    []workers.Worker
		regions []topology.Region
		body    string
		status  int
	}{
		"any":                             {[]workers.Worker{near.entry("pool"), abroad}, nil, "near", http.StatusOK},
		"the other region":                {[]workers.Worker{near.entry("pool"), abroad}, []topology.Region{"abroad"}, "far", http.StatusOK},
		"no worker in the allowed region": {[]workers.Worker{near.entry("pool")}, []topology.Region{"abroad"}, reasonRegion + "\n", http.StatusServiceUnavailable},
		"a region without workers":        {[]workers.Worker{near.entry("pool"), abroad}, []topology.Region{"elsewhere"}, reasonRegion + "\n", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestProxy(t, test.list...)
			f.proxy.SetTopology(twoRegions)
			f.restrictRegions(t, 2, test.regions...)
			for range 5 {
				response, body := f.get(t, "GET", "/safe/", "")
				assert.Equal(t, response.StatusCode, test.status)
				assert.Equal(t, body, test.body)
			}
		})
	}
}

// A rejected request is sent again to the worker in the allowed region that rejected it, and never
// to a worker in another region.
func TestRejectedRequestStaysInAllowedRegion(t *testing.T) {
	inside, outside := newFakeWorker(t, "w1", reject), newFakeWorker(t, "w2", alwaysAnswer("x"))
	abroad := outside.entry("pool")
	abroad.Zone = "far"
	f := newTestProxy(t, inside.entry("pool"), abroad)
	f.proxy.SetTopology(twoRegions)
	f.restrictRegions(t, 2, "near")
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, outside.receivedCount(), 0)
	assert.Assert(t, inside.receivedCount() > 1)
}

func TestKeyOwnedInTheWrongRegionIsNotServed(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	entry := w.entry("keyed")
	entry.Zone = "far"
	f := newTestProxy(t, entry)
	f.proxy.SetTopology(twoRegions)
	f.assignAllKeys(entry)
	_, body := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, body, "x", "any region may serve")
	f.restrictRegions(t, 2, "near")
	response, body := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, body, reasonRegion+"\n")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, w.receivedCount(), 1)
}

// The zone of an owner that is no longer announced is unknown.
func TestUnannouncedOwnerServesNoRegionBoundRequest(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	entry := w.entry("keyed")
	f := newTestProxy(t)
	f.proxy.SetTopology(twoRegions)
	f.assignAllKeys(entry)
	f.restrictRegions(t, 2, "near")
	response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, w.receivedCount(), 0)
}

// A tenant's regions restrict its requests in addition to those of the route, and do not affect
// other tenants.
func TestTenantsAreServedInTheirRegionsOnly(t *testing.T) {
	near, far := newFakeWorker(t, "w1", alwaysAnswer("near")), newFakeWorker(t, "w2", alwaysAnswer("far"))
	abroad := far.entry("pool")
	abroad.Zone = "far"
	for name, test := range map[string]struct {
		tenant, route []topology.Region
		body          string
	}{
		"any":                       {nil, nil, "near"},
		"the tenant's":              {[]topology.Region{"abroad"}, nil, "far"},
		"both":                      {[]topology.Region{"abroad", "near"}, []topology.Region{"abroad"}, "far"},
		"none that both allow":      {[]topology.Region{"abroad"}, []topology.Region{"near"}, reasonRegion + "\n"},
		"no worker in the tenant's": {[]topology.Region{"elsewhere"}, nil, reasonRegion + "\n"},
		"the route's":               {nil, []topology.Region{"abroad"}, "far"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestProxy(t, near.entry("pool"), abroad)
			f.proxy.SetTopology(twoRegions)
			config := tenantsConfig(t, 2, twoTenants)
			config.Tenants["a"].Regions = test.tenant
			config.Match("app.example", "/safe/").Regions = test.route
			assert.Assert(t, f.proxy.Use(config))
			for range 3 {
				_, body := f.get(t, "GET", "/safe/", "", "Authorization", "Bearer "+keyOfA)
				assert.Equal(t, body, test.body)
			}
			if test.route == nil {
				_, body := f.get(t, "GET", "/safe/", "", "Authorization", "Bearer "+keyOfB)
				assert.Equal(t, body, "near", "the other tenant is not restricted")
			}
		})
	}
}

// The second copy of a hedged request goes to no worker outside the allowed regions, and that of a
// large request to no other region.
func TestHedgesStayInAllowedRegion(t *testing.T) {
	for name, test := range map[string]struct {
		class   routing.BodyClass
		regions []topology.Region
		copies  int
	}{
		"small, anywhere":   {routing.Small, nil, 1},
		"small, restricted": {routing.Small, []topology.Region{"near"}, 0},
		"large, anywhere":   {routing.BulkDownload, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			silent := newFakeWorker(t, "w1", func(net.Conn, *http.Request) bool {
				<-t.Context().Done()
				return false
			})
			outside := newFakeWorker(t, "w2", alwaysAnswer("x"))
			abroad := outside.entry("pool")
			abroad.Zone = "far"
			f := newTestProxy(t, silent.entry("pool"), abroad)
			f.proxy.SetTopology(twoRegions)
			config := testConfig(t, 2)
			route := config.Match("app.example", "/safe/")
			route.Regions, route.Class = test.regions, test.class
			assert.Assert(t, f.proxy.Use(config))
			f.proxy.fleet.bulkLimiter.next = time.Now() // the link has capacity
			f.get(t, "GET", "/safe/", "", "X-Deadline", "900")
			assert.Equal(t, silent.receivedCount(), 1)
			assert.Equal(t, outside.receivedCount(), test.copies)
		})
	}
}
