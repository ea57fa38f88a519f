package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Processes that see one request each deal them by the weights all the same, if their
// rounds begin at all places alike.
func TestManySplittersTogetherKeepTheWeights(t *testing.T) {
	for name, weights := range map[string][]int{
		"halves":      {1, 1},
		"most to one": {7, 3},
		"nearly all":  {90, 10},
		"three parts": {5, 1, 4},
		"one is off":  {3, 0},
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
			for _, part := range route.Services {
				assert.Equal(t, first[part.Service], part.Weight, part.Service)
			}
		})
	}
}

func TestASplitterKeepsTheWeights(t *testing.T) {
	route := &Route{Services: []WeightedService{{Service: "a", Weight: 5}, {Service: "b", Weight: 1}}}
	splitter := NewSplitter(func(int) int { return 4 })
	dealt := map[ServiceName]int{}
	for range 60 {
		dealt[splitter.Pick(route)]++
	}
	assert.DeepEqual(t, dealt, map[ServiceName]int{"a": 50, "b": 10})
}

// A configuration is read by all processes within a second: weights of any size must not hold up
// the first request of a route, which begins its round, for seconds at each of them.
func TestHugeWeightsBeginARoundSoon(t *testing.T) {
	route := &Route{Services: []WeightedService{{Service: "a", Weight: 1 << 40}, {Service: "b", Weight: 1 << 40}}}
	splitter := NewSplitter(func(of int) int {
		assert.Assert(t, of <= 100_000, "up to %d requests are passed over", of)
		return 0
	})
	splitter.Pick(route)
}
