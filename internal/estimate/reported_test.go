package estimate

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReportedValue(t *testing.T) {
	now := time.Unix(1000, 0)
	const mean = 4.0
	for name, c := range map[string]struct {
		reported bool
		// value that was reported, and how long ago.
		value    float64
		age      time.Duration
		expected float64
	}{
		"nothing":           {expected: mean},
		"just now":          {reported: true, value: 10, expected: 10},
		"a moment ago":      {reported: true, value: 10, age: reportDecay, expected: mean + 6/math.E},
		"idle recently":     {reported: true, age: reportDecay, expected: mean - mean/math.E},
		"too long ago":      {reported: true, value: 10, age: time.Minute, expected: mean},
		"equal to the mean": {reported: true, value: mean, age: reportDecay, expected: mean},
	} {
		t.Run(name, func(t *testing.T) {
			var reported ReportedValue
			if c.reported {
				reported.Add(now.Add(-c.age), c.value)
			}
			got := reported.Expected(now, mean)
			assert.Assert(t, math.Abs(got-c.expected) < 1e-6, "%f", got)
		})
	}
}

func TestMeanOfReports(t *testing.T) {
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
		now = now.Add(meanDecay / 2)
		mean.Add(now, 1)
	}
	assert.Assert(t, mean.Get(now) < 1.1, "old reports weigh little: %f", mean.Get(now))
	assert.Equal(t, mean.Get(now.Add(decayDelay)), mean.Get(now))
	assert.Assert(t, mean.Get(now.Add(time.Minute)) < 0.01, "no recent reports")
}
