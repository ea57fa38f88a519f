package estimate

import (
	"math"
	"time"
)

const (
	// backoffResolution is the granularity of stored backoff ends. It limits the memory that many
	// backoffs take.
	backoffResolution = 100 * time.Millisecond
	// recentBackoffTime is how long after the end of its last backoff a worker still counts as
	// lacking capacity: most workers that ask for a backoff ask for another.
	recentBackoffTime = 5 * time.Second
)

// Backoffs estimates the share of processes that send nothing to a worker because it asked them to
// back off. It is not safe for concurrent use.
type Backoffs struct {
	// ends counts the backoffs by their end, in steps of backoffResolution since the Unix epoch.
	ends map[int64]int
	// last is the latest end of a backoff.
	last time.Time
}

// Add records count backoffs that begin now and whose durations add up to sum.
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

// Share returns the share of the given number of processes that is backing off.
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

// Remaining returns the time until the last backoff ends.
func (b *Backoffs) Remaining(now time.Time) time.Duration { return max(0, b.last.Sub(now)) }

// IsRecent reports whether a backoff is in progress or has ended within recentBackoffTime.
func (b *Backoffs) IsRecent(now time.Time) bool {
	return !b.last.IsZero() && now.Before(b.last.Add(recentBackoffTime))
}

func stepOf(at time.Time) int64 { return at.UnixNano() / int64(backoffResolution) }
