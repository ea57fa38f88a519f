package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeClocks are two clocks that a test sets. Each read of the monotonic one takes readDuration.
type fakeClocks struct {
	monotonicTime, bootTime time.Duration
	readDuration            time.Duration
}

func (c *fakeClocks) readMonotonic() time.Duration {
	c.monotonicTime, c.bootTime = c.monotonicTime+c.readDuration, c.bootTime+c.readDuration
	return c.monotonicTime
}

func (c *fakeClocks) readBoot() time.Duration { return c.bootTime }

func TestSuspensionDetection(t *testing.T) {
	tests := map[string]struct {
		running, suspended time.Duration
		readDuration       time.Duration
		known, want        time.Duration
	}{
		"time passes":                   {running: time.Hour},
		"suspended":                     {running: time.Second, suspended: 8 * time.Second, want: 8 * time.Second},
		"suspended again":               {running: time.Second, suspended: 8 * time.Second, known: 5 * time.Second, want: 8 * time.Second},
		"nothing beyond the known time": {running: time.Second, suspended: 8 * time.Second, known: 8 * time.Second, want: 8 * time.Second},
		"below the minimum":             {suspended: minSuspension - time.Millisecond},
		"slow reading":                  {suspended: 8 * time.Second, readDuration: maxReadTime / 4, want: 8*time.Second - maxReadTime/4},
		"all readings too slow":         {suspended: 8 * time.Second, readDuration: 10 * maxReadTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeClocks{monotonicTime: time.Minute, bootTime: time.Hour}
			d := newSuspensionDetector(c.readMonotonic, c.readBoot)
			c.monotonicTime, c.bootTime, c.readDuration = c.monotonicTime+test.running, c.bootTime+test.running+test.suspended, test.readDuration
			assert.Equal(t, d.totalSuspension(test.known), test.want)
		})
	}
}

func TestNowCountsSuspension(t *testing.T) {
	began := Now()
	restore := SimulateSuspension(8 * time.Second)
	defer restore()
	assert.Assert(t, Since(began) >= 8*time.Second)
	assert.Assert(t, Until(began.Add(10*time.Second)) <= 2*time.Second)
	assert.Assert(t, FromNanos(Nanos(began)).Equal(began))
	assert.Equal(t, Refresh(), time.Duration(0), "the machine was not really suspended")
}

// Measured in one run each: Now takes 94 ns, of which time.Now takes some 50, and reading the
// kernel's clocks in each Refresh takes 650 ns.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkRefresh(b *testing.B) {
	for b.Loop() {
		Refresh()
	}
}
