package scale

import (
	"testing"

	"gotest.tools/v3/assert"
)

// testOverhead stands for measured headers, so that bytes are the same on any
// machine.
var testOverhead = Overhead{RequestBytes: 200, ResponseBytes: 110, LineBytes: 7}

func smallShape() Shape {
	shape := Shape{Keyed: 3, Pool: 2, Slices: 6, Fleet: 10, RequestRate: 100, ReportEvery: reportEvery, RenewEvery: renewEvery}
	return shape.withMachines(5)
}

func TestCellServesEverySlice(t *testing.T) {
	c, err := newRunningCell(smallShape(), testOverhead, 0, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(c.roles()[RoleLeader]), 1)
	for _, each := range c.gateways {
		assert.Equal(t, each.routes.Version(), c.state().Version())
	}
}
