package workers

import "time"

// LearnedTimes are the times at which the first process learned of changes of workers. The time for
// which a leaving worker may get requests counts from then in all processes: a router that the
// store refuses receives the changes from its peers a second late. A worker that is not in the map
// became known just now.
type LearnedTimes map[ID]time.Time

// at returns the time since when a worker's change is known.
func (l LearnedTimes) at(id ID, now time.Time) time.Time {
	if at := l[id]; !at.IsZero() && at.Before(now) {
		return at
	}
	return now
}
