package estimate

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTold(t *testing.T) {
	now := time.Unix(1000, 0)
	const mean = 4.0
	for name, c := range map[string]struct {
		told bool
		// figure that was told, and how long ago.
		figure   float64
		age      time.Duration
		expected float64
	}{
		"nothing":         {expected: mean},
		"just now":        {told: true, figure: 10, expected: 10},
		"a moment ago":    {told: true, figure: 10, age: toldMemory, expected: mean + 6/math.E},
		"idle lately":     {told: true, age: toldMemory, expected: mean - mean/math.E},
		"too long ago":    {told: true, figure: 10, age: time.Minute, expected: mean},
		"the same as all": {told: true, figure: mean, age: toldMemory, expected: mean},
	} {
		t.Run(name, func(t *testing.T) {
			var told ReportedValue
			if c.told {
				told.Add(now.Add(-c.age), c.figure)
			}
			got := told.Expected(now, mean)
			assert.Assert(t, math.Abs(got-c.expected) < 1e-6, "%f", got)
		})
	}
}

func TestMeanOfWhatIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	var mean Mean
	assert.Equal(t, mean.Get(now), 0.0)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		mean.Add(now, 2)
		mean.Add(now, 6)
	}
	assert.Assert(t, math.Abs(mean.Get(now)-4) < 1e-6, "%f", mean.Get(now))
	for range 16 {
		now = now.Add(meanMemory / 2)
		mean.Add(now, 1)
	}
	assert.Assert(t, mean.Get(now) < 1.1, "what was told long ago weighs little: %f", mean.Get(now))
	assert.Equal(t, mean.Get(now.Add(silentTime)), mean.Get(now))
	assert.Assert(t, mean.Get(now.Add(time.Minute)) < 0.01, "nothing was told for long")
}
