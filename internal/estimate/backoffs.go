package estimate

import (
	"math"
	"time"
)

const (
	// backoffStep is to what the ends of backoffs are rounded, so that many of them take little room.
	backoffStep = 100 * time.Millisecond
	// backoffMemory is for how long after its last backoff a worker counts as short of room: most that
	// ask for one ask again.
	backoffMemory = 5 * time.Second
)

// Backoffs estimates which share of the processes sends nothing to a worker that has asked them for
// backoffs. It is not safe for concurrent use.
type Backoffs struct {
	// ends are how many backoffs end at which time, in steps since the zero time.
	ends map[int64]int
	last time.Time
}

// Add takes a number of backoffs that begin now, and the sum of their times.
func (b *Backoffs) Add(now time.Time, count int, sum time.Duration) {
	if count <= 0 || sum <= 0 {
		return
	}
	if b.ends == nil {
		b.ends = map[int64]int{}
	}
	end := now.Add(sum / time.Duration(count))
	b.ends[stepOf(end)] += count
	if end.After(b.last) {
		b.last = end
	}
}

// Share returns which share of so many processes sends the worker nothing.
func (b *Backoffs) Share(now time.Time, processes int) float64 {
	waiting := 0
	for step, count := range b.ends {
		if step < stepOf(now) {
			delete(b.ends, step)
			continue
		}
		waiting += count
	}
	return math.Min(1, float64(waiting)/float64(max(1, processes)))
}

// Left returns for how long the last backoff goes on.
func (b *Backoffs) Remaining(now time.Time) time.Duration { return max(0, b.last.Sub(now)) }

// Lately reports whether the worker has asked for a backoff that lasts, or has ended lately.
func (b *Backoffs) IsRecent(now time.Time) bool {
	return !b.last.IsZero() && now.Before(b.last.Add(backoffMemory))
}

func stepOf(at time.Time) int64 { return at.UnixNano() / int64(backoffStep) }
