package balance

import "time"

// occupancyShare is the weight of a new measurement in the moving average.
const occupancyShare = 0.1

// Occupancy is a moving average of how long a request holds a slot. The zero
// value knows nothing.
type Occupancy struct {
	mean time.Duration
}

// Add counts a request that held its slot for so long.
func (o *Occupancy) Add(held time.Duration) {
	o.mean += time.Duration(occupancyShare * float64(held-o.mean))
}

// Wait estimates how long a request waits for one of capacity slots, which are
// all taken, if it is the position-th in the queue for them, counted from 1.
// Zero if nothing is known, or if capacity is zero, which stands for no bound.
func (o *Occupancy) Wait(position, capacity int) time.Duration {
	if capacity == 0 {
		return 0
	}
	return o.mean * time.Duration(position) / time.Duration(capacity)
}
