package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/keyspace"
)

const testService keyspace.ServiceName = "team/keyed"

// testView has a keyed service of 4 slices that only zones a and b may hold,
// and live servers in zones a, b and c.
func testView() View {
	state := cellstate.New("cell", 1)
	partition := bundle.Partition{Name: "all", Zones: []bundle.Zone{"a", "b"}}
	service := bundle.Service{Name: "keyed", Kind: bundle.KindKeyed, Partitions: []bundle.Partition{partition}}
	state.Teams["team"] = cellstate.Team{Bundle: bundle.Bundle{Team: "team", Services: []bundle.Service{service}}}
	for _, split := range keyspace.SplitEvenly(4) {
		slice := keyspace.Slice{Service: testService, Partition: "all", Range: split}
		state.Assignments = append(state.Assignments, cellstate.Assignment{Slice: slice})
	}
	view := View{State: state}
	for _, zone := range []bundle.Zone{"a", "b", "c"} {
		name := bundle.ServerName(string(testService) + "/" + string(zone))
		state.Servers[name] = cellstate.Server{Name: name, Service: testService, Zone: zone, Incarnation: "run"}
		view.Servers = append(view.Servers, grant.ServerView{Name: name, Incarnation: "run", Live: true})
	}
	return view
}

func TestUnownedSlicesGoToAllowedServersEvenly(t *testing.T) {
	owned := map[bundle.ServerName]int{}
	for _, command := range NewPlanner().Plan(testView()) {
		owned[command.Assign.Owner]++
	}
	assert.DeepEqual(t, owned, map[bundle.ServerName]int{"team/keyed/a": 2, "team/keyed/b": 2})
}

func TestSliceWithoutPlaceIsRefused(t *testing.T) {
	view := testView()
	view.Servers = view.Servers[2:]
	commands := NewPlanner().Plan(view)
	assert.Equal(t, len(commands), 4)
	assert.Equal(t, commands[0].Refuse.Reason, ReasonNoServer)
}
