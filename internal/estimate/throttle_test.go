package estimate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestThrottle(t *testing.T) {
	for name, test := range map[string]struct {
		taken, turnedAway int
		later             time.Duration
		least, most       float64
	}{
		"nothing known":           {},
		"takes all":               {taken: 50},
		"takes half":              {taken: 10, turnedAway: 10},
		"takes a tenth":           {taken: 2, turnedAway: 18, least: 0.7, most: 0.8},
		"takes nothing":           {turnedAway: 20, least: 0.9, most: 0.99},
		"one was turned away":     {turnedAway: 1, least: 0.4, most: 0.6},
		"has long taken nothing":  {turnedAway: 20, later: 10 * throttleWindow, most: 0.01},
		"took all, then nothing":  {taken: 20, turnedAway: 20},
		"took none a moment ago":  {turnedAway: 20, later: throttleWindow, least: 0.85, most: 0.9},
		"takes four of ten, busy": {taken: 8, turnedAway: 12, least: 0.15, most: 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			var throttle Throttle
			now := time.Unix(1000, 0)
			for range test.taken {
				throttle.RecordSent(now, true)
			}
			for range test.turnedAway {
				throttle.RecordSent(now, false)
			}
			share := throttle.Share(now.Add(test.later))
			assert.Assert(t, share >= test.least && share <= test.most, "%v", share)
		})
	}
}

// A worker that takes a tenth of what it is asked for is asked for a few times as much as
// it takes, and is asked for all again soon after the load has gone.
func TestThrottleFollowsTheLoad(t *testing.T) {
	var throttle Throttle
	now := time.Unix(1000, 0)
	sent, taken := 0, 0
	for step := range 400 { // 100 a second, of which 10 can be taken
		now = now.Add(10 * time.Millisecond)
		if throttle.Share(now) > float64(step%10)/10 {
			throttle.RecordRefused(now)
			continue
		}
		sent++
		takes := taken < (step+10)/10
		if takes {
			taken++
		}
		throttle.RecordSent(now, takes)
	}
	assert.Assert(t, taken >= 35, "%d", taken)
	assert.Assert(t, sent < 4*taken, "%d sent, %d taken", sent, taken)
}
