package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clocks are two clocks that a test sets; reading the steady one may take time.
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
		passes, suspended time.Duration
		reads             time.Duration
		known, want       time.Duration
	}{
		"time passes":               {passes: time.Hour},
		"suspended":                 {passes: time.Second, suspended: 8 * time.Second, want: 8 * time.Second},
		"and once more":             {passes: time.Second, suspended: 8 * time.Second, known: 5 * time.Second, want: 8 * time.Second},
		"no longer than was known":  {passes: time.Second, suspended: 8 * time.Second, known: 8 * time.Second, want: 8 * time.Second},
		"too short to tell":         {suspended: minSuspension - time.Millisecond},
		"read a little late":        {suspended: 8 * time.Second, reads: maxReadTime / 4, want: 8*time.Second - maxReadTime/4},
		"the reader lost its turns": {suspended: 8 * time.Second, reads: 10 * maxReadTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeClocks{monotonicTime: time.Minute, bootTime: time.Hour}
			d := newSuspensionDetector(c.readMonotonic, c.readBoot)
			c.monotonicTime, c.bootTime, c.readDuration = c.monotonicTime+test.passes, c.bootTime+test.passes+test.suspended, test.reads
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
	assert.Equal(t, Refresh(), time.Duration(0), "this machine was not")
}

// Now took 94 ns, of which time.Now takes some 50, and asking the kernel at each look 650 ns (one
// run each).
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
