package estimate

import (
	"math"
	"time"
)

const (
	// throttleWindow is the time constant with which requests are forgotten.
	throttleWindow = 3 * time.Second
	// throttleSlack times what a worker has taken is let through: it must be asked for
	// more than it takes to be seen to take more again. It is the factor of "Site
	// Reliability Engineering", chapter 21.
	throttleSlack = 2
	// shortTrace is what is left of one request after two seconds: a worker that has turned
	// none away for that long has room, and nobody is refused for its sake.
	shortTrace = 0.5
)

// Throttle is client-side adaptive throttling: the share of requests for one worker that
// is refused without asking it, by how many it has turned away.
type Throttle struct {
	// wanted are the requests for the worker, those that were refused here included, and
	// taken those that it has not turned away.
	wanted, taken float64
	// turnedAway are the requests that it has turned away itself.
	turnedAway float64
	at         time.Time
}

// Share returns the share of requests to refuse now, from 0 to 1.
func (t *Throttle) Share(now time.Time) float64 {
	t.forget(now)
	return max(0, (t.wanted-throttleSlack*t.taken)/(t.wanted+1))
}

// Refused counts a request that was not sent.
func (t *Throttle) RecordRefused(now time.Time) { t.add(now, 0) }

// Sent counts a request that was sent, and whether the worker took it.
func (t *Throttle) RecordSent(now time.Time, taken bool) {
	if taken {
		t.add(now, 1)
		return
	}
	t.add(now, 0)
	t.turnedAway++
}

// Short reports whether the worker has turned a request away within the last two seconds.
func (t *Throttle) HasRecentRejection(now time.Time) bool {
	t.forget(now)
	return t.turnedAway >= shortTrace
}

func (t *Throttle) add(now time.Time, taken float64) {
	t.forget(now)
	t.wanted++
	t.taken += taken
}

// forget gives old requests less weight.
func (t *Throttle) forget(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 && !t.at.IsZero() {
		kept := math.Exp(-passed.Seconds() / throttleWindow.Seconds())
		t.wanted *= kept
		t.taken *= kept
		t.turnedAway *= kept
	}
	t.at = now
}
