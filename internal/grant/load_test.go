package grant_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/wire"
)

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
