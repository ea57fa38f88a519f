package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// lateShareOf returns the share of late answers by their mean latency.
func lateShareOf(mean time.Duration) float64 { return min(1, mean.Seconds()) }

func TestChoiceByDistance(t *testing.T) {
	zone, region, across := &backend{}, &backend{}, &backend{}
	at := func(to *backend, late float64) choice {
		return choice{backend: to, estimate: time.Duration(late * float64(time.Second))}
	}
	none := choice{}
	small, large := requirements{bytes: 2000}, requirements{bytes: 90_000, bulk: true}
	for name, test := range map[string]struct {
		policy          crossingPolicy
		by              bestByDistance
		required        requirements
		linkHasCapacity bool
		want            *backend
	}{
		"nobody":                           {multiRegionPolicy, bestByDistance{}, small, true, nil},
		"local zone, small gain":           {multiRegionPolicy, bestByDistance{at(zone, 0.15), at(region, 0.1), at(across, 0.1)}, small, true, zone},
		"another zone, larger gain":        {multiRegionPolicy, bestByDistance{at(zone, 0.3), at(region, 0.2), at(across, 0.1)}, small, true, region},
		"another region, largest gain":     {multiRegionPolicy, bestByDistance{at(zone, 0.5), at(region, 0.4), at(across, 0.1)}, small, true, across},
		"small, only in another region":    {multiRegionPolicy, bestByDistance{none, none, at(across, 0.9)}, small, false, across},
		"same region only":                 {multiRegionPolicy, bestByDistance{none, none, at(across, 0.1)}, requirements{sameRegionOnly: true}, true, nil},
		"bulk, moderately late":            {multiRegionPolicy, bestByDistance{at(zone, 0.7), none, at(across, 0)}, large, true, zone},
		"bulk, no local worker":            {multiRegionPolicy, bestByDistance{none, none, at(across, 0.1)}, large, true, across},
		"bulk, no local worker, link full": {multiRegionPolicy, bestByDistance{none, none, at(across, 0.1)}, large, false, nil},
		"bulk, local region late":          {multiRegionPolicy, bestByDistance{at(zone, 0.9), none, at(across, 0.1)}, large, true, across},
		"bulk, both regions late":          {multiRegionPolicy, bestByDistance{at(zone, 0.9), none, at(across, 0.95)}, large, true, zone},
		"single region, bulk":              {singleRegionPolicy, bestByDistance{at(zone, 0.3), none, at(across, 0.1)}, large, false, across},
		"single region, small gain":        {singleRegionPolicy, bestByDistance{at(zone, 0.15), none, at(across, 0.1)}, small, false, zone},
	} {
		t.Run(name, func(t *testing.T) {
			got := test.policy.choose(test.by, test.required, lateShareOf, func() bool { return test.linkHasCapacity })
			assert.Assert(t, got.backend == test.want)
		})
	}
}

// The link's capacity is only requested for large bodies that would cross it.
func TestLinkCapacityIsRequestedForCrossingLargeBodiesOnly(t *testing.T) {
	near, across := choice{backend: &backend{}}, choice{backend: &backend{}}
	for name, test := range map[string]struct {
		by       bestByDistance
		required requirements
		want     int
	}{
		"small":                 {bestByDistance{{}, {}, across}, requirements{}, 0},
		"large, served locally": {bestByDistance{near, {}, across}, requirements{bulk: true}, 0},
		"large, crossing":       {bestByDistance{{}, {}, across}, requirements{bulk: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			multiRegionPolicy.choose(test.by, test.required, lateShareOf, func() bool { calls++; return true })
			assert.Equal(t, calls, test.want)
		})
	}
}

// If a pool's workers in the local region are full, small requests go to another region and large
// ones do not.
func TestFullRegionForwardsOnlySmallRequests(t *testing.T) {
	directory := workers.NewDirectory()
	directory.Replace([]workers.Worker{
		{ID: "near", Service: "s", Zone: "a1", Slots: 1, State: workers.StateReady},
		{ID: "far", Service: "s", Zone: "b1", Slots: 1, State: workers.StateReady},
	}, nil, time.Now())
	f := newFleet("a2", directory, BudgetLimits{})
	f.topology = topology.New(map[topology.Zone]topology.Region{"a1": "a", "a2": "a", "b1": "b"})
	f.crossing = multiRegionPolicy
	service, state := &routing.Service{Name: "s"}, &serviceState{}
	now := time.Now()
	small, large := requirements{target: 150 * time.Millisecond, bytes: 3000}, requirements{target: 150 * time.Millisecond, bytes: 90_000, bulk: true}
	pick := func(required requirements) workers.ID {
		return f.pick(now, state, service, required, nil, 1).backend.id()
	}
	assert.Equal(t, pick(small), workers.ID("near"))
	near, _ := directory.Get("near")
	f.get(near).begin()
	assert.Equal(t, pick(small), workers.ID("far"), "the request would wait at the near worker")
	assert.Equal(t, pick(large), workers.ID("near"))
}

// All routers together stay within the link's rate for large bodies. Each sends one per interval,
// which depends on the number of routers, whatever the random part of the first wait is.
func TestBulkLimiterBoundsAllRouters(t *testing.T) {
	const (
		routers, bytes = 30, 90_000
		duration       = 20 * time.Second
	)
	interval := time.Duration(routers * bytes * time.Second / bulkLinkRate)
	start := time.Now()
	for index := range routers {
		var limiter bulkLimiter
		passed := 0
		for at := time.Duration(0); at <= duration; at += 5 * time.Millisecond {
			if limiter.take(start.Add(at), bytes, routers) {
				passed++
			}
		}
		maxPassed := int(duration/interval) + 1
		assert.Assert(t, passed <= maxPassed && passed >= maxPassed-2, "router %d: %d of %d", index, passed, maxPassed)
	}
}

func TestSizesAreLearnedByRoute(t *testing.T) {
	s := newSizes()
	small, bulk := &routing.Route{Name: "a"}, &routing.Route{Name: "b", Class: routing.BulkDownload}
	assert.Equal(t, s.expected(small), float64(defaultSmallBytes))
	assert.Equal(t, s.expected(bulk), float64(defaultBulkBytes))
	for range 200 {
		s.add(small, 60_000)
	}
	assert.Assert(t, isBulk(small.Class, s.expected(small)), "measured sizes take precedence over the route's class")
	config, err := routing.Build(1, nil, nil, routing.Limits{})
	assert.NilError(t, err)
	s.retain(config)
	assert.Equal(t, s.expected(small), float64(defaultSmallBytes))
}
