package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clocks are two clocks that a test sets; reading the steady one may take time.
type clocks struct {
	steadyAt, bootAt time.Duration
	reads            time.Duration
}

func (c *clocks) steady() time.Duration {
	c.steadyAt, c.bootAt = c.steadyAt+c.reads, c.bootAt+c.reads
	return c.steadyAt
}

func (c *clocks) boot() time.Duration { return c.bootAt }

func TestSuspensionsAreFound(t *testing.T) {
	tests := map[string]struct {
		passes, suspended time.Duration
		reads             time.Duration
		known, want       time.Duration
	}{
		"time passes":               {passes: time.Hour},
		"suspended":                 {passes: time.Second, suspended: 8 * time.Second, want: 8 * time.Second},
		"and once more":             {passes: time.Second, suspended: 8 * time.Second, known: 5 * time.Second, want: 8 * time.Second},
		"no longer than was known":  {passes: time.Second, suspended: 8 * time.Second, known: 8 * time.Second, want: 8 * time.Second},
		"too short to tell":         {suspended: leastSuspension - time.Millisecond},
		"read a little late":        {suspended: 8 * time.Second, reads: readTime / 4, want: 8*time.Second - readTime/4},
		"the reader lost its turns": {suspended: 8 * time.Second, reads: 10 * readTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clocks{steadyAt: time.Minute, bootAt: time.Hour}
			d := newDetector(c.steady, c.boot)
			c.steadyAt, c.bootAt, c.reads = c.steadyAt+test.passes, c.bootAt+test.passes+test.suspended, test.reads
			assert.Equal(t, d.look(test.known), test.want)
		})
	}
}

func TestNowGoesOnWhileTheMachineIsSuspended(t *testing.T) {
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
