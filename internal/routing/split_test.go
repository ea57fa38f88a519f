package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Processes that see one request each still follow the weights together, if the offsets of their
// rounds are distributed evenly.
func TestFirstPicksOfManySplittersFollowTheWeights(t *testing.T) {
	for name, weights := range map[string][]int{
		"halves":         {1, 1},
		"most to one":    {7, 3},
		"nearly all":     {90, 10},
		"three services": {5, 1, 4},
		"no weight":      {3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			route := &Route{}
			total := 0
			for index, weight := range weights {
				route.Services = append(route.Services, WeightedService{Service: ServiceName(rune('a' + index)), Weight: weight})
				total += weight
			}
			first := map[ServiceName]int{}
			for start := range total {
				splitter := NewSplitter(func(of int) int {
					assert.Equal(t, of, total)
					return start
				})
				first[splitter.Pick(route)]++
			}
			for _, weighted := range route.Services {
				assert.Equal(t, first[weighted.Service], weighted.Weight, weighted.Service)
			}
		})
	}
}

func TestSplitterFollowsTheWeights(t *testing.T) {
	route := &Route{Services: []WeightedService{{Service: "a", Weight: 5}, {Service: "b", Weight: 1}}}
	splitter := NewSplitter(func(int) int { return 4 })
	picked := map[ServiceName]int{}
	for range 60 {
		picked[splitter.Pick(route)]++
	}
	assert.DeepEqual(t, picked, map[ServiceName]int{"a": 50, "b": 10})
}

// All processes load a configuration within a second: weights of any size must not delay the first
// request of a route, which begins its round, by seconds in each of them.
func TestHugeWeightsDoNotDelayTheFirstRequest(t *testing.T) {
	route := &Route{Services: []WeightedService{{Service: "a", Weight: 1 << 40}, {Service: "b", Weight: 1 << 40}}}
	splitter := NewSplitter(func(of int) int {
		assert.Assert(t, of <= 100_000, "up to %d requests are skipped", of)
		return 0
	})
	splitter.Pick(route)
}
