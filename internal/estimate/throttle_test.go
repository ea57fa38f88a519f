package estimate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestThrottle(t *testing.T) {
	for name, test := range map[string]struct {
		accepted, rejected int
		later              time.Duration
		least, most        float64
	}{
		"no requests":                {},
		"accepts all":                {accepted: 50},
		"accepts half":               {accepted: 10, rejected: 10},
		"accepts a tenth":            {accepted: 2, rejected: 18, least: 0.7, most: 0.8},
		"accepts nothing":            {rejected: 20, least: 0.9, most: 0.99},
		"one was rejected":           {rejected: 1, least: 0.4, most: 0.6},
		"accepted nothing long ago":  {rejected: 20, later: 10 * throttleWindow, most: 0.01},
		"accepted all, then nothing": {accepted: 20, rejected: 20},
		"accepted nothing recently":  {rejected: 20, later: throttleWindow, least: 0.85, most: 0.9},
		"accepts four of ten":        {accepted: 8, rejected: 12, least: 0.15, most: 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			var throttle Throttle
			now := time.Unix(1000, 0)
			for range test.accepted {
				throttle.RecordSent(now, true)
			}
			for range test.rejected {
				throttle.RecordSent(now, false)
			}
			share := throttle.Share(now.Add(test.later))
			assert.Assert(t, share >= test.least && share <= test.most, "%v", share)
		})
	}
}

// A worker that can accept a tenth of the load is sent less than four times as many requests as it
// accepts.
func TestThrottleFollowsTheLoad(t *testing.T) {
	var throttle Throttle
	now := time.Unix(1000, 0)
	sent, accepted := 0, 0
	for step := range 400 { // 100 requests per second, of which 10 can be accepted
		now = now.Add(10 * time.Millisecond)
		if throttle.Share(now) > float64(step%10)/10 {
			throttle.RecordRefused(now)
			continue
		}
		sent++
		accepts := accepted < (step+10)/10
		if accepts {
			accepted++
		}
		throttle.RecordSent(now, accepts)
	}
	assert.Assert(t, accepted >= 35, "%d", accepted)
	assert.Assert(t, sent < 4*accepted, "%d sent, %d accepted", sent, accepted)
}
