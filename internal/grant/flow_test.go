package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/wire"
)

const millisecond = time.Millisecond

func testConfig() grant.Config {
	return grant.Config{
		Cell: "casablanca-1", Leader: "leader-1", Term: 2,
		Duration: 600 * millisecond, PoolDuration: 3 * time.Second,
		RenewEvery: 200 * millisecond, PoolRenewEvery: time.Second,
		DriftMargin: 10 * millisecond,
	}
}

func testBundle(version bundle.Version, slices int) bundle.Bundle {
	backend := func(name, address string) bundle.Backend {
		return bundle.Backend{Name: name, Address: address, Zone: "anfa", Slots: 2, Connections: 130}
	}
	return bundle.Bundle{
		Team: "tawila", Version: version, Cell: "casablanca-1", Zones: []bundle.Zone{"anfa"},
		Services: []bundle.Service{{
			Name: "tables", Kind: bundle.KindKeyed,
			Partitions: []bundle.Partition{{Name: "all", Zones: []bundle.Zone{"anfa"}}},
			Placement:  bundle.Placement{Slices: slices},
			Backends:   []bundle.Backend{backend("a", "127.0.0.1:7001"), backend("b", "127.0.0.1:7002")},
		}},
	}
}

// cell applies commands and fails the test on a rejection.
type cell struct {
	t     *testing.T
	state cellstate.State
}

func newCell(t *testing.T, slices int) *cell {
	c := &cell{t: t, state: cellstate.New("casablanca-1", 1)}
	c.apply(cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: testBundle(1, slices)}})
	return c
}

func (c *cell) apply(commands ...cellstate.Command) {
	for _, command := range commands {
		var rejection cellstate.Rejection
		c.state, rejection = cellstate.Apply(c.state, c.state.Index+1, command)
		assert.Equal(c.t, rejection, cellstate.Applied)
	}
}

func (c *cell) assignAll(owner bundle.ServerName, incarnation wire.Incarnation) {
	for _, assignment := range c.state.Assignments {
		c.apply(cellstate.Command{Assign: &cellstate.Assign{Slice: assignment.Slice, Owner: owner, Incarnation: incarnation}})
	}
}

func at(ms int) clock.Instant { return clock.Exact(time.Duration(ms) * millisecond) }

func TestFirstContactRegisterGrantAndSteadyRenewal(t *testing.T) {
	c := newCell(t, 1)
	book := grant.New(testConfig(), at(0), c.state)
	due := book.Due(at(0), time.Hour)
	assert.Equal(t, len(due), 2)
	assert.Equal(t, due[0].Request.Server, wire.Incarnation(""))

	book.Answered(at(1), "tawila/tables/a", wire.RenewResponse{Server: "a1", Reading: 5 * millisecond})
	proposals := book.Proposals(at(1))
	assert.Equal(t, proposals[0].RegisterServer.Server.Incarnation, wire.Incarnation("a1"))
	c.apply(proposals...)
	c.assignAll("tawila/tables/a", "a1")
	book.Observe(at(2), c.state)

	due = book.Due(at(2), time.Hour)
	assert.Equal(t, len(due), 1)
	assert.Equal(t, due[0].Request.Reading, 5*millisecond)
	assert.Equal(t, len(*due[0].Request.Slices), 1)
	set := due[0].Request.Set
	book.Answered(at(3), "tawila/tables/a", wire.RenewResponse{
		Server: "a1", Reading: 7 * millisecond, Generation: 1, Term: 2, Set: set,
	})
	assert.Equal(t, len(book.Due(at(100), time.Hour)), 0)
	book.Failed(at(100), "tawila/tables/b")
	due = book.Due(at(203), time.Hour)
	assert.Equal(t, len(due), 2)
	assert.Assert(t, due[0].Request.Slices == nil)
}
