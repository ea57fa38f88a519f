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

// boundTo is a configuration whose only route to service s is bound to regions.
func (b *bench) boundTo(version routing.Version, regions ...topology.Region) *routing.Config {
	route := &routing.Route{
		Name: "r", Prefix: "/", Timeout: time.Second, Regions: regions,
		Services: []routing.WeightedService{{Service: "s", Weight: 1}},
	}
	config, err := routing.Build(version, []*routing.Route{route},
		map[routing.ServiceName]*routing.Service{"s": {Name: "s", Keyed: true}}, routing.Limits{})
	assert.NilError(b.t, err)
	return config
}

// A version that binds a service's only route to a region moves the keys that are owned
// outside, and new owners stand inside.
func TestKeysOfABoundServiceMoveInside(t *testing.T) {
	play(t, func(b *bench) {
		b.keeper.Regions = topology.New(map[topology.Zone]topology.Region{"a1": "a", "b1": "b"})
		b.keeper.Workers.Replace([]workers.Worker{
			{ID: "w1", Service: "s", Address: "w1", Zone: "a1", Slots: 2, State: workers.StateReady},
			{ID: "w2", Service: "s", Address: "w2", Zone: "b1", Slots: 2, State: workers.StateReady},
		}, nil, time.Now())
		var config atomic.Pointer[routing.Config]
		config.Store(b.boundTo(1))
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
			config.Store(b.boundTo(2, "b"))
			time.Sleep(8 * time.Second)
			assert.Check(t, len(owners()) == 1 && owners()["w2"], "%v", owners())
		})
	})
}
