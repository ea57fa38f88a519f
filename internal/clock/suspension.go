package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// The steady clock of time.Now stands still while its machine is suspended. What a promise
// rests on must not: leases, holds and leaves of others end meanwhile. Now, Since and Until
// count that time, and are used for all that outlives an instant. Deadlines of connections and
// contexts are the runtime's, and take times of time.Now.
//
// Asking the kernel costs a system call, so what a machine was suspended for is looked at every
// PollInterval, and by Refresh before each order that a promise rests on.

const (
	// PollInterval is the pause between looks at the kernel's clock. A process that wakes believes
	// for as long that no time has passed, but for what Refresh goes before; the users' platform
	// gives it 3 s to catch up. Each look wakes the process: with 100 ms a quiet day of 11
	// routers cost 6.38 s of processor time in place of 6.09 (means of three runs each).
	PollInterval = 500 * time.Millisecond
	// leastSuspension is the least time that counts as a suspension: the two clocks are read
	// one after the other, microseconds apart.
	leastSuspension = 20 * time.Millisecond
	// readTime is how long one reading of both clocks may take, and readTries how often it is
	// tried: a thread may lose its turn in between.
	readTime  = time.Millisecond
	readTries = 3
)

// suspended is for how long the machine was suspended since the process began, in nanoseconds.
var suspended atomic.Int64

// Now returns the time on a clock that goes on while the machine is suspended.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns the time since t, which came from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which came from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// began is the zero of Nanos.
var began = time.Now()

// Nanos returns a time of Now as a number, for atomic variables.
func Nanos(t time.Time) int64 { return int64(t.Sub(began)) }

// FromNanos returns the time that a number of Nanos stands for.
func FromNanos(nanos int64) time.Time { return began.Add(time.Duration(nanos)) }

// Suspended returns for how long the machine was suspended since the process began, as far as
// that was looked at.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// detector finds suspensions by comparing two clocks, each of which returns the time since an
// instant of its own.
type detector struct {
	mu sync.Mutex
	// steady stands still while the machine is suspended, and boot does not.
	steady, boot func() time.Duration
	// ahead is by how much boot was ahead of steady at first.
	ahead time.Duration
}

func newDetector(steady, boot func() time.Duration) *detector {
	d := &detector{steady: steady, boot: boot}
	d.ahead, _ = d.read()
	return d
}

// read returns by how much boot is ahead, or a little less; false if no reading was quick
// enough to tell.
func (d *detector) read() (time.Duration, bool) {
	for range readTries {
		before := d.steady()
		boot := d.boot()
		after := d.steady()
		if after-before <= readTime {
			return boot - after, true
		}
	}
	return 0, false
}

// look returns for how long the machine was suspended in all, if that is more than known.
func (d *detector) look(known time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ahead, ok := d.read()
	if !ok || ahead-d.ahead-known < leastSuspension {
		return known
	}
	return ahead - d.ahead
}

// Refresh looks whether the machine was suspended since the last look, and returns for how long.
func Refresh() time.Duration {
	if kernel == nil {
		return 0
	}
	for {
		known := suspended.Load()
		found := int64(kernel.look(time.Duration(known)))
		if found <= known {
			return 0
		}
		if suspended.CompareAndSwap(known, found) {
			return time.Duration(found - known)
		}
	}
}

// Suspend lets Now jump as if the machine had been suspended, for tests, which must not run
// beside others. What it returns takes that back.
func SimulateSuspension(d time.Duration) (restore func()) {
	before := suspended.Add(int64(d)) - int64(d)
	return func() { suspended.Store(before) }
}
