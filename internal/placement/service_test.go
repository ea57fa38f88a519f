package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
)

// planAndApply makes one plan and applies it.
func (c *testCell) planAndApply(t *testing.T) []cellstate.Command {
	commands := c.planner.Plan(c.view())
	for _, command := range commands {
		assert.Equal(t, c.apply(command), cellstate.Applied)
	}
	return commands
}

func TestBackEndsOfAPoolGetTheirOwnGrantOnly(t *testing.T) {
	pool := bundle.Service{Name: "pool", Kind: bundle.KindPool}
	for _, name := range []string{"s1", "s2"} {
		pool.Backends = append(pool.Backends, bundle.Backend{Name: name, Address: name + ":1", Zone: "a"})
	}
	cell := newTestCell(bundle.Bundle{Team: "team", Version: 1, Cell: "cell", Services: []bundle.Service{pool}})
	cell.dead["team/pool/s2"] = true
	assert.Equal(t, len(cell.planAndApply(t)), 1)
	cell.dead["team/pool/s2"] = false
	cell.planAndApply(t)
	for _, assignment := range cell.state.Assignments {
		assert.Equal(t, string(assignment.Owner), "team/pool/"+string(assignment.Slice.Partition))
	}
	cell.drain("team/pool/s1", true)
	released := cell.planAndApply(t)
	assert.Equal(t, len(released), 1)
	assert.Equal(t, released[0].BeginRelease.Slice.Partition, cell.state.Assignments[0].Slice.Partition)
}

func TestLedgerIsSpreadOverGatewaysInAnyZone(t *testing.T) {
	cell := newTestCell(bundle.Bundle{Team: "team", Version: 1, Cell: "cell"})
	for _, name := range []bundle.ServerName{"g1", "g2"} {
		server := cellstate.Server{Name: name, Service: cellstate.LedgerService, Address: string(name) + ":1", Zone: "any"}
		server.Incarnation = cell.incarnationOf(name)
		assert.Equal(t, cell.apply(cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}}), cellstate.Applied)
	}
	cell.planAndApply(t)
	assert.Equal(t, len(cell.state.OwnedBy("g1")), 16)
	assert.Equal(t, len(cell.state.OwnedBy("g2")), 16)
}
