package scale

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testOverhead stands for measured headers, so that bytes are the same on any
// machine.
var testOverhead = Overhead{RequestBytes: 200, ResponseBytes: 110, BareBytes: 40, LineBytes: 7}

func smallShape() Shape {
	shape := ownCell()
	shape.Keyed, shape.Pool, shape.Slices, shape.RequestRate = 5, 2, 10, 100
	return shape.withMachines(7)
}

func TestCellServesEverySlice(t *testing.T) {
	c, err := newRunningCell(smallShape(), testOverhead, 0, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(c.roles()[RoleLeader]), 1)
	probed := c.probes()
	assert.Equal(t, len(probed), 10)
	assert.Equal(t, c.failing(probed), 0)
}

func TestSameSeedGivesSameTraffic(t *testing.T) {
	traffic := func() []float64 {
		point := Point{Shape: smallShape(), overhead: testOverhead}
		assert.NilError(t, point.run(7))
		var bytes []float64
		for _, each := range point.Costs {
			bytes = append(bytes, each.Messages, each.Bytes())
		}
		return bytes
	}
	assert.DeepEqual(t, traffic(), traffic())
}

func TestEveryLossIsMendedAndSeen(t *testing.T) {
	limits := map[string]time.Duration{
		"an owner's process": time.Second,
		"an owner's machine": time.Second,
	}
	for _, kind := range lossKinds {
		dark, err := runLoss(kind, smallShape(), testOverhead, 3)
		assert.NilError(t, err)
		longest := slices.Max(dark.byGateway)
		limit, found := limits[kind.name]
		if !found {
			limit = lossWindow - time.Second
		}
		assert.Assert(t, longest < limit, "%s: %s", kind.name, longest)
		if kind.owner {
			assert.Assert(t, longest >= probeEvery, "%s: nothing was seen", kind.name)
		}
	}
}

func TestBundleIsInForceEverywhere(t *testing.T) {
	reached, err := propagate(smallShape(), testOverhead, 1)
	assert.NilError(t, err)
	for _, each := range reached {
		assert.Assert(t, each > 0 && each < 5*time.Second)
	}
}

func TestSlopeOfALine(t *testing.T) {
	points := []Point{{Value: 1}, {Value: 2}, {Value: 5}}
	slope := slopeOf(points, func(p Point) float64 { return 3 + 4*p.Value })
	assert.Equal(t, slope, 4.0)
}

func TestProcessFilesAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "status")
	assert.NilError(t, os.WriteFile(path, []byte("Name:\tx\nVmRSS:\t  24 kB\nrchar: 7\n"), 0o600))
	fields, err := procFields(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, fields, map[string]float64{"VmRSS": 24, "rchar": 7})
	assert.Equal(t, countedIn(`shalefork_gateway_answers_total{class="2xx"} 12`), 12.0)
	assert.Equal(t, countedIn("go_goroutines 12"), 0.0)
	used, err := sampleProcess(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, used.cpu > 0 && used.resident > 0)
}
