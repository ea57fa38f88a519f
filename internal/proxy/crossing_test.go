package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// lateShareOf gives the shares of late answers by their mean time.
func lateShareOf(mean time.Duration) float64 { return min(1, mean.Seconds()) }

func TestChoiceByDistance(t *testing.T) {
	zone, region, across := &backend{}, &backend{}, &backend{}
	at := func(to *backend, late float64) choice {
		return choice{backend: to, estimate: time.Duration(late * float64(time.Second))}
	}
	none := choice{}
	small, large := requirements{bytes: 2000}, requirements{bytes: 90_000, bulk: true}
	for name, test := range map[string]struct {
		policy crossingPolicy
		by     bestByDistance
		asks   requirements
		spare  bool
		want   *backend
	}{
		"nobody":                      {multiRegionPolicy, bestByDistance{}, small, true, nil},
		"the own zone for a little":   {multiRegionPolicy, bestByDistance{at(zone, 0.15), at(region, 0.1), at(across, 0.1)}, small, true, zone},
		"the next zone for more":      {multiRegionPolicy, bestByDistance{at(zone, 0.3), at(region, 0.2), at(across, 0.1)}, small, true, region},
		"the next region for much":    {multiRegionPolicy, bestByDistance{at(zone, 0.5), at(region, 0.4), at(across, 0.1)}, small, true, across},
		"a small one where none else": {multiRegionPolicy, bestByDistance{none, none, at(across, 0.9)}, small, false, across},
		"one that must stay":          {multiRegionPolicy, bestByDistance{none, none, at(across, 0.1)}, requirements{sameRegionOnly: true}, true, nil},
		"bulk that would be late":     {multiRegionPolicy, bestByDistance{at(zone, 0.7), none, at(across, 0)}, large, true, zone},
		"bulk, nobody near":           {multiRegionPolicy, bestByDistance{none, none, at(across, 0.1)}, large, true, across},
		"bulk, nobody near, no room":  {multiRegionPolicy, bestByDistance{none, none, at(across, 0.1)}, large, false, nil},
		"bulk, region has no time":    {multiRegionPolicy, bestByDistance{at(zone, 0.9), none, at(across, 0.1)}, large, true, across},
		"bulk, neither has time":      {multiRegionPolicy, bestByDistance{at(zone, 0.9), none, at(across, 0.95)}, large, true, zone},
		"zones only, bulk":            {singleRegionPolicy, bestByDistance{at(zone, 0.3), none, at(across, 0.1)}, large, false, across},
		"zones only, for a little":    {singleRegionPolicy, bestByDistance{at(zone, 0.15), none, at(across, 0.1)}, small, false, zone},
	} {
		t.Run(name, func(t *testing.T) {
			got := test.policy.choose(test.by, test.asks, lateShareOf, func() bool { return test.spare })
			assert.Assert(t, got.backend == test.want)
		})
	}
}

// Only a large body that would cross asks for room on the link.
func TestLinkCapacityIsRequestedForCrossingLargeBodiesOnly(t *testing.T) {
	near, across := choice{backend: &backend{}}, choice{backend: &backend{}}
	for name, test := range map[string]struct {
		by   bestByDistance
		asks requirements
		want int
	}{
		"small":              {bestByDistance{{}, {}, across}, requirements{}, 0},
		"large, served near": {bestByDistance{near, {}, across}, requirements{bulk: true}, 0},
		"large, crossing":    {bestByDistance{{}, {}, across}, requirements{bulk: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			asked := 0
			multiRegionPolicy.choose(test.by, test.asks, lateShareOf, func() bool { asked++; return true })
			assert.Equal(t, asked, test.want)
		})
	}
}

// A pool's region that is full sends small requests on, and keeps large ones.
func TestFullRegionForwardsOnlySmallRequests(t *testing.T) {
	directory := workers.NewDirectory()
	directory.Replace([]workers.Worker{
		{ID: "near", Service: "s", Zone: "a1", Slots: 1, State: workers.StateReady},
		{ID: "far", Service: "s", Zone: "b1", Slots: 1, State: workers.StateReady},
	}, nil, time.Now())
	f := newFleet("a2", directory, BudgetLimits{})
	f.topology = topology.New(map[topology.Zone]topology.Region{"a1": "a", "a2": "a", "b1": "b"})
	f.crossing = multiRegionPolicy
	of, service := &routing.Service{Name: "s"}, &serviceState{}
	now := time.Now()
	small, large := requirements{target: 150 * time.Millisecond, bytes: 3000}, requirements{target: 150 * time.Millisecond, bytes: 90_000, bulk: true}
	pick := func(asks requirements) workers.ID { return f.pick(now, service, of, asks, nil, 1).backend.id() }
	assert.Equal(t, pick(small), workers.ID("near"))
	near, _ := directory.Get("near")
	f.get(near).begin()
	assert.Equal(t, pick(small), workers.ID("far"), "it would wait at the near one")
	assert.Equal(t, pick(large), workers.ID("near"))
}

// Together the routers stay below the link's part for large bodies: each passes one in a pause,
// which it shares with all others, whatever the random part of the first wait.
func TestBulkLimiterBoundsAllRouters(t *testing.T) {
	const (
		routers, bytes = 30, 90_000
		lasts          = 20 * time.Second
	)
	pause := time.Duration(routers * bytes * time.Second / bulkLinkRate)
	start := time.Now()
	for index := range routers {
		var gate bulkLimiter
		passed := 0
		for at := time.Duration(0); at <= lasts; at += 5 * time.Millisecond {
			if gate.take(start.Add(at), bytes, routers) {
				passed++
			}
		}
		most := int(lasts/pause) + 1
		assert.Assert(t, passed <= most && passed >= most-2, "router %d: %d of %d", index, passed, most)
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
	assert.Assert(t, isBulk(small.Class, s.expected(small)), "its answers are large whatever it says")
	config, err := routing.Build(1, nil, nil, routing.Limits{})
	assert.NilError(t, err)
	s.retain(config)
	assert.Equal(t, s.expected(small), float64(defaultSmallBytes))
}
