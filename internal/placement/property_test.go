package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// TestPlansKeepTheRules checks after any history of losses, drains, traffic and
// changes of the leader: only allowed, live servers that are not draining get
// slices; planned releases stay within the budget; a view gives its plan again.
func TestPlansKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBundle(t)
		cell := newTestCell(b)
		budget := &budgetCheck{limit: b.Services[0].Placement.MovesPerMinute}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			disturb(t, cell)
			cell.now += time.Duration(rapid.IntRange(1, 20000).Draw(t, "step ms")) * time.Millisecond
			cell.endReleases()
			commands := cell.planner.Plan(cell.view())
			assert.DeepEqual(t, cell.planner.Plan(cell.view()), commands)
			for _, command := range commands {
				checkCommand(t, cell, b, command)
				budget.count(t, cell, command)
				assert.Equal(t, cell.apply(command), cellstate.Applied, "%s", describe(command, ""))
			}
		}
	})
}

func drawBundle(t *rapid.T) bundle.Bundle {
	zones := rapid.SampledFrom([][]bundle.Zone{{"a"}, {"a", "b"}, {"a", "b", "c"}}).Draw(t, "zones")
	service := bundle.Service{
		Name: "keyed",
		Kind: bundle.KindKeyed,
		Placement: bundle.Placement{
			Slices:         rapid.IntRange(1, 12).Draw(t, "slices"),
			ChurnWeight:    rapid.Float64Range(0, 1).Draw(t, "churn weight"),
			MovesPerMinute: rapid.IntRange(1, 20).Draw(t, "moves"),
		},
		Partitions: []bundle.Partition{{Name: "all", Zones: zones}},
	}
	for i := range rapid.IntRange(1, 7).Draw(t, "servers") {
		service.Backends = append(service.Backends, bundle.Backend{
			Name:    fmt.Sprintf("s%d", i),
			Address: fmt.Sprintf("s%d:1", i),
			Zone:    bundle.Zone("abc"[i%3 : i%3+1]),
		})
	}
	return bundle.Bundle{Team: "team", Version: 1, Cell: "cell", Services: []bundle.Service{service}}
}

func disturb(t *rapid.T, cell *testCell) {
	server := rapid.SampledFrom(cell.state.ServerNames()).Draw(t, "server")
	hash := keyspace.Hash(rapid.Uint64().Draw(t, "hash"))
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		cell.dead[server] = true
	case 1, 2:
		cell.dead[server] = false
	case 3:
		cell.drain(server, true)
	case 4:
		cell.drain(server, false)
	case 5:
		rate := rapid.SampledFrom([]float64{0, 1, 50, 1000, math.NaN(), math.Inf(1)}).Draw(t, "rate")
		cell.traffic = append(cell.traffic, trafficPoint{hash: hash, rate: rate})
	case 6:
		cell.traffic = nil
	}
}

func checkCommand(t *rapid.T, cell *testCell, b bundle.Bundle, command cellstate.Command) {
	if command.Assign == nil {
		return
	}
	server := cell.state.Servers[command.Assign.Owner]
	assert.Assert(t, !server.Draining, "%s is draining", server.Name)
	assert.Assert(t, !cell.dead[server.Name], "%s is dead", server.Name)
	assert.Assert(t, cell.state.AllowedZones(command.Assign.Slice).Allows(server.Zone))
}

// budgetCheck counts the planned releases of the last minute.
type budgetCheck struct {
	limit int
	begun []time.Duration
}

func (c *budgetCheck) count(t *rapid.T, cell *testCell, command cellstate.Command) {
	if command.BeginRelease == nil {
		return
	}
	assignment, _ := cell.state.Assignment(command.BeginRelease.Slice)
	assert.Assert(t, assignment.State != wire.SliceReleasing)
	if cell.state.Servers[assignment.Owner].Draining {
		return
	}
	c.begun = append(c.begun, cell.now)
	recent := 0
	for _, at := range c.begun {
		if at > cell.now-budgetWindow {
			recent++
		}
	}
	assert.Assert(t, recent <= c.limit, "%d planned releases in a minute", recent)
}
