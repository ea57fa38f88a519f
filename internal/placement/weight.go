package placement

import (
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// density is the rate of the known slices of one service over their width.
type density struct {
	rate  float64
	width float64
}

// weigh returns the weight of each keyed slice in requests per second: the
// estimated rate, or for an unknown one the service's mean rate over its
// width; and for every slice the little that idleRate adds.
func weigh(assignments []cellstate.Assignment, memories map[keyspace.Slice]*sliceMemory) map[keyspace.Slice]float64 {
	densities := measureDensities(assignments, memories)
	weights := make(map[keyspace.Slice]float64, len(memories))
	for slice, memory := range memories {
		weight := idleRate * slice.Range.Width()
		if memory.known {
			weight += memory.rate
		} else if known := densities[slice.Service]; known.width > 0 {
			weight += known.rate / known.width * slice.Range.Width()
		}
		weights[slice] = weight
	}
	return weights
}

// measureDensities adds in the order of the state, so that rounding is the
// same each time.
func measureDensities(assignments []cellstate.Assignment, memories map[keyspace.Slice]*sliceMemory) map[keyspace.ServiceName]density {
	densities := map[keyspace.ServiceName]density{}
	for _, assignment := range assignments {
		memory := memories[assignment.Slice]
		if memory == nil || !memory.known {
			continue
		}
		sum := densities[assignment.Slice.Service]
		sum.rate += memory.rate
		sum.width += assignment.Slice.Range.Width()
		densities[assignment.Slice.Service] = sum
	}
	return densities
}
