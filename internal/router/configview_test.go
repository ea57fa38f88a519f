package router

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
)

// newConfigRouter returns a router with nothing running. A configuration's version is its revision.
func newConfigRouter(t *testing.T) *Router {
	r := newTestRouter(t)
	r.adapter.ParseConfig = func(items []coord.Item) (*routing.Config, error) {
		for _, one := range items {
			if one.Key == "op/config" {
				return routing.Build(routing.Version(one.Revision), nil, nil, routing.Limits{})
			}
		}
		return nil, nil
	}
	r.adapter.ParseEvacuationKey = func(key string) (string, bool) { return strings.CutPrefix(key, "op/evacuate/") }
	return r
}

// written returns an item that operators wrote.
func written(key string, revision coord.Revision) coord.Item {
	return coord.Item{Key: "op/" + key, Revision: revision, Value: []byte("v")}
}

func removed(key string, revision coord.Revision) coord.Event {
	return coord.Event{Item: coord.Item{Key: "op/" + key, Revision: revision}, Deleted: true}
}

func TestEvacuationsFromTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		write func(v *configView)
		zones []string
		// knownSince is whether it is known since when the zones are evacuated.
		knownSince bool
	}{
		"none":   {write: func(*configView) {}},
		"listed": {write: func(v *configView) { v.Snapshot([]coord.Item{written("evacuate/a", 9)}, 9) }, zones: []string{"a"}},
		"one watched": {write: func(v *configView) {
			v.ApplyEvents([]coord.Event{{Item: written("evacuate/a", 9)}}, 9)
		}, zones: []string{"a"}, knownSince: true},
		"two": {write: func(v *configView) {
			v.ApplyEvents([]coord.Event{{Item: written("evacuate/a", 9)}, {Item: written("evacuate/b", 10)}}, 10)
		}, zones: []string{"a", "b"}, knownSince: true},
		"one withdrawn": {write: func(v *configView) {
			v.ApplyEvents([]coord.Event{{Item: written("evacuate/a", 9)}}, 9)
			v.ApplyEvents([]coord.Event{removed("evacuate/a", 10)}, 10)
		}},
		"withdrawn while disconnected": {write: func(v *configView) {
			v.ApplyEvents([]coord.Event{{Item: written("evacuate/a", 9)}}, 9)
			v.Snapshot([]coord.Item{written("config", 8)}, 12)
		}},
		"an older list": {write: func(v *configView) {
			v.ApplyEvents([]coord.Event{{Item: written("evacuate/a", 9)}}, 9)
			v.Snapshot([]coord.Item{written("config", 8)}, 8)
		}, zones: []string{"a"}, knownSince: true},
		"a newer configuration": {write: func(v *configView) {
			v.ApplyEvents([]coord.Event{{Item: written("evacuate/a", 9)}}, 9)
			v.ApplyEvents([]coord.Event{{Item: written("config", 10)}}, 10)
		}, zones: []string{"a"}, knownSince: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newConfigRouter(t)
			r.configView.Snapshot([]coord.Item{written("config", 5)}, 6)
			c.write(r.configView)
			assert.DeepEqual(t, r.workers.EvacuatedZones(), append([]string{}, c.zones...))
			for _, zone := range c.zones {
				assert.Equal(t, r.workers.EvacuatedFor(zone) < time.Hour, c.knownSince)
			}
			assert.Assert(t, r.proxy.Config() != nil)
		})
	}
}

func TestEvacuationsFromTheLeader(t *testing.T) {
	// The leader has a configuration and then an evacuation.
	leader := newConfigRouter(t)
	leader.configView.Snapshot([]coord.Item{written("config", 5)}, 6)
	leader.configView.ApplyEvents([]coord.Event{{Item: written("evacuate/a", 9)}}, 9)
	for name, c := range map[string]struct {
		// items were read by the process, up to revision at.
		items   []coord.Item
		at      coord.Revision
		changes peerlink.ConfigChanges
		ok      bool
		zones   []string
	}{
		"everything is new": {
			changes: leader.hub.ConfigSince(0), ok: true, zones: []string{"a"},
		},
		"the evacuation is new": {
			items: []coord.Item{written("config", 5)}, at: 6, changes: leader.hub.ConfigSince(6), ok: true, zones: []string{"a"},
		},
		"the configuration is missing": {
			changes: leader.hub.ConfigSince(6),
		},
		"an evacuation was withdrawn": {
			items: []coord.Item{written("config", 5), written("evacuate/b", 7)}, at: 7, changes: leader.hub.ConfigSince(7),
			ok: true, zones: []string{"a"},
		},
		"newer state is known here": {
			items: []coord.Item{written("config", 5), written("evacuate/b", 10)}, at: 10, changes: leader.hub.ConfigSince(6),
			ok: true, zones: []string{"b"},
		},
		"invalid update": {
			items: []coord.Item{written("config", 5), written("evacuate/b", 7)}, at: 7,
			changes: peerlink.ConfigChanges{Revision: 9, Packed: []byte("no packed items")}, zones: []string{"b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newConfigRouter(t)
			if c.at > 0 {
				r.configView.Snapshot(c.items, c.at)
			}
			assert.Equal(t, r.configView.applyRelayed(c.changes), c.ok)
			assert.DeepEqual(t, r.workers.EvacuatedZones(), append([]string{}, c.zones...))
		})
	}
}

// A router keeps and relays configurations without plain API keys, whether it received them from
// the store or from another router.
func TestConfigIsRelayedWithHashedKeys(t *testing.T) {
	raw := coord.Item{Key: "op/config", Revision: 9, Value: []byte("a KEY in it")}
	for name, receive := range map[string]func(v *configView){
		"listed":  func(v *configView) { v.Snapshot([]coord.Item{raw}, 9) },
		"watched": func(v *configView) { v.ApplyEvents([]coord.Event{{Item: raw}}, 9) },
		"received from a router that hashes nothing": func(v *configView) {
			leader := newConfigRouter(t)
			leader.configView.Snapshot([]coord.Item{raw}, 9)
			assert.Assert(t, v.applyRelayed(leader.hub.ConfigSince(0)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newConfigRouter(t)
			r.adapter.HashAPIKeys = func(item coord.Item) (coord.Item, error) {
				item.Value = []byte(strings.ReplaceAll(string(item.Value), "KEY", "digest"))
				return item, nil
			}
			receive(r.configView)
			assert.Equal(t, string(r.configView.items["op/config"].Value), "a digest in it")
			relayed, err := r.hub.ConfigSince(0).Items()
			assert.NilError(t, err)
			assert.Equal(t, len(relayed), 1)
			assert.Equal(t, string(relayed[0].Value), "a digest in it")
			assert.Assert(t, r.proxy.Config() != nil)
		})
	}
}
