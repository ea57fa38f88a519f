package estimate

import (
	"math"
	"time"
)

const (
	// throttleWindow is the time constant with which the weight of requests decays.
	throttleWindow = 3 * time.Second
	// throttleMultiplier limits the requests that a worker is sent to this multiple of those that
	// it accepts: it must be sent more than it accepts for an increase of its capacity to be
	// noticed. It is the factor of "Site Reliability Engineering", chapter 21.
	throttleMultiplier = 2
	// recentRejection is the weight that one rejection has left after two seconds: a worker that
	// has rejected no request for that long has capacity, and no request is refused on its account.
	recentRejection = 0.5
)

// Throttle implements client-side adaptive throttling: it computes the share of requests for one
// worker that is refused without being sent, from how many the worker has rejected.
type Throttle struct {
	// requests counts the requests for the worker, including those that were refused here, and
	// accepted those that it has not rejected. Both decay.
	requests, accepted float64
	// rejected counts the requests that the worker itself has rejected. It decays.
	rejected float64
	at       time.Time
}

// Share returns the share of requests to refuse now, from 0 to 1.
func (t *Throttle) Share(now time.Time) float64 {
	t.decay(now)
	return max(0, (t.requests-throttleMultiplier*t.accepted)/(t.requests+1))
}

// RecordRefused counts a request that was refused here and not sent.
func (t *Throttle) RecordRefused(now time.Time) { t.add(now, 0) }

// RecordSent counts a request that was sent, and whether the worker accepted it.
func (t *Throttle) RecordSent(now time.Time, accepted bool) {
	if accepted {
		t.add(now, 1)
		return
	}
	t.add(now, 0)
	t.rejected++
}

// HasRecentRejection reports whether the worker has rejected requests recently. A single rejection
// counts for two seconds.
func (t *Throttle) HasRecentRejection(now time.Time) bool {
	t.decay(now)
	return t.rejected >= recentRejection
}

func (t *Throttle) add(now time.Time, accepted float64) {
	t.decay(now)
	t.requests++
	t.accepted += accepted
}

// decay reduces the weight of earlier requests.
func (t *Throttle) decay(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 && !t.at.IsZero() {
		factor := math.Exp(-passed.Seconds() / throttleWindow.Seconds())
		t.requests *= factor
		t.accepted *= factor
		t.rejected *= factor
	}
	t.at = now
}
