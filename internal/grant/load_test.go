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

// TestKeyedServersAreContactedFirst: at an election the contacts of many pool
// servers must not hold back those whose grants end soonest.
func TestKeyedServersAreContactedFirst(t *testing.T) {
	c := newCell(t, 1)
	mixed := testBundle(2, 1)
	mixed.Services = append(mixed.Services, bundle.Service{
		Name: "booking", Kind: bundle.KindPool,
		Backends: []bundle.Backend{{Name: "p", Address: "127.0.0.1:7003", Zone: "anfa", Slots: 2, Connections: 130}},
	})
	c.apply(cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: mixed}})
	book := grant.New(testConfig(), at(0), c.state)
	keyed := book.Due(at(0), time.Hour)
	assert.Equal(t, len(keyed), 2)
	assert.Equal(t, len(book.Due(at(99), time.Hour)), 0)
	pools := book.Due(at(100), time.Hour)
	assert.Equal(t, len(pools), 1)
	assert.Equal(t, pools[0].Server, bundle.ServerName("tawila/booking/p"))
}

func TestPartialReportKeepsTheLastRates(t *testing.T) {
	c := newCell(t, 1)
	book := grant.New(testConfig(), clock.Exact(0), c.state)
	rates := []wire.SliceLoad{{Slice: c.state.Assignments[0].Slice, Rate: 7}}
	answer := func(server wire.Incarnation, load wire.LoadReport) wire.LoadReport {
		book.Answered(clock.Exact(millisecond), "tawila/tables/a", wire.RenewResponse{Server: server, Load: load})
		return book.Servers(clock.Exact(millisecond))[0].Load
	}
	answer("run-1", wire.LoadReport{Slices: rates})
	assert.DeepEqual(t, answer("run-1", wire.LoadReport{Partial: true, InFlight: 2}).Slices, rates)
	assert.Equal(t, len(answer("run-2", wire.LoadReport{Partial: true}).Slices), 0, "another run has its own rates")
	assert.Equal(t, len(answer("run-2", wire.LoadReport{}).Slices), 0)
}
