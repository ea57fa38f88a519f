package simulation

import (
	"math"
	"math/rand/v2"

	"github.com/zeebo/xxh3"
)

// Random returns the stream of random numbers of the given name. Streams of
// one seed are independent: drawing more from one changes no other.
func Random(seed uint64, stream string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxh3.HashString(stream)))
}

// Zipf draws ranks from 0 on, where rank r has a weight of 1/(r+1)^skew.
type Zipf struct {
	// cumulative holds the share of all ranks up to each.
	cumulative []float64
}

// NewZipf returns the distribution over count ranks.
func NewZipf(count int, skew float64) *Zipf {
	cumulative := make([]float64, count)
	total := 0.0
	for rank := range cumulative {
		total += math.Pow(float64(rank+1), -skew)
		cumulative[rank] = total
	}
	for rank := range cumulative {
		cumulative[rank] /= total
	}
	return &Zipf{cumulative: cumulative}
}

// Share returns the share of one rank.
func (z *Zipf) Share(rank int) float64 {
	if rank == 0 {
		return z.cumulative[0]
	}
	return z.cumulative[rank] - z.cumulative[rank-1]
}

// Draw returns a rank.
func (z *Zipf) Draw(random *rand.Rand) int {
	wanted := random.Float64()
	low, high := 0, len(z.cumulative)-1
	for low < high {
		middle := (low + high) / 2
		if z.cumulative[middle] < wanted {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
