package workers

import "time"

// Learned is since when changes of workers are known to the first process that heard of them:
// the time for which a worker that leaves may get requests counts from then, in all processes:
// a router that the store refuses hears from its neighbours a second late. A worker that is not
// named was heard of just now.
type LearnedTimes map[ID]time.Time

// of returns since when a worker's change is known.
func (l LearnedTimes) at(id ID, now time.Time) time.Time {
	if at := l[id]; !at.IsZero() && at.Before(now) {
		return at
	}
	return now
}
