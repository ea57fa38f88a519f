package keeper

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// configBoundTo returns a configuration whose only route to service s is restricted to regions.
func (b *testBench) configBoundTo(version routing.Version, regions ...topology.Region) *routing.Config {
	route := &routing.Route{
		Name: "r", Prefix: "/", Timeout: time.Second, Regions: regions,
		Services: []routing.WeightedService{{Service: "s", Weight: 1}},
	}
	config, err := routing.Build(version, []*routing.Route{route},
		map[routing.ServiceName]*routing.Service{"s": {Name: "s", Keyed: true}}, routing.Limits{})
	assert.NilError(b.t, err)
	return config
}

// After a new configuration restricts a service's only route to a region, keys owned by workers
// outside the region move to workers inside it.
func TestKeysMoveIntoRequiredRegion(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.keeper.Regions = topology.New(map[topology.Zone]topology.Region{"a1": "a", "b1": "b"})
		b.keeper.Workers.Replace([]workers.Worker{
			{ID: "w1", Service: "s", Address: "w1", Zone: "a1", Slots: 2, State: workers.StateReady},
			{ID: "w2", Service: "s", Address: "w2", Zone: "b1", Slots: 2, State: workers.StateReady},
		}, nil, time.Now())
		var config atomic.Pointer[routing.Config]
		config.Store(b.configBoundTo(1))
		b.keeper.Config = config.Load
		owners := func() map[workers.ID]bool {
			found := map[workers.ID]bool{}
			for key := 0; key < 65536; key += 512 {
				found[b.owner(key)] = true
			}
			return found
		}
		b.lead(20*time.Second, func() {
			time.Sleep(8 * time.Second)
			assert.Check(t, len(owners()) == 2, "%v", owners())
			config.Store(b.configBoundTo(2, "b"))
			time.Sleep(8 * time.Second)
			assert.Check(t, len(owners()) == 1 && owners()["w2"], "%v", owners())
		})
	})
}
