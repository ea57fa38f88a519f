package estimate

import (
	"math"
	"time"
)

const (
	// throttleWindow is the time constant with which requests are forgotten.
	throttleWindow = 3 * time.Second
	// throttleMultiplier times what a worker has taken is let through: it must be asked for
	// more than it takes to be seen to take more again. It is the factor of "Site
	// Reliability Engineering", chapter 21.
	throttleMultiplier = 2
	// recentRejection is what is left of one request after two seconds: a worker that has turned
	// none away for that long has room, and nobody is refused for its sake.
	recentRejection = 0.5
)

// Throttle is client-side adaptive throttling: the share of requests for one worker that
// is refused without asking it, by how many it has turned away.
type Throttle struct {
	// wanted are the requests for the worker, those that were refused here included, and
	// taken those that it has not turned away.
	requests, accepted float64
	// turnedAway are the requests that it has turned away itself.
	rejected float64
	at       time.Time
}

// Share returns the share of requests to refuse now, from 0 to 1.
func (t *Throttle) Share(now time.Time) float64 {
	t.decay(now)
	return max(0, (t.requests-throttleMultiplier*t.accepted)/(t.requests+1))
}

// Refused counts a request that was not sent.
func (t *Throttle) RecordRefused(now time.Time) { t.add(now, 0) }

// Sent counts a request that was sent, and whether the worker took it.
func (t *Throttle) RecordSent(now time.Time, accepted bool) {
	if accepted {
		t.add(now, 1)
		return
	}
	t.add(now, 0)
	t.rejected++
}

// Short reports whether the worker has turned a request away within the last two seconds.
func (t *Throttle) HasRecentRejection(now time.Time) bool {
	t.decay(now)
	return t.rejected >= recentRejection
}

func (t *Throttle) add(now time.Time, accepted float64) {
	t.decay(now)
	t.requests++
	t.accepted += accepted
}

// forget gives old requests less weight.
func (t *Throttle) decay(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 && !t.at.IsZero() {
		factor := math.Exp(-passed.Seconds() / throttleWindow.Seconds())
		t.requests *= factor
		t.accepted *= factor
		t.rejected *= factor
	}
	t.at = now
}
