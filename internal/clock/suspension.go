package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// The monotonic clock of time.Now stops while the machine is suspended, but leases, holds and
// delegations that other processes rely on expire meanwhile. Now, Since and Until count that time
// and are used for every time that is kept beyond the current call. Deadlines of connections and
// contexts belong to the Go runtime and take times of time.Now.
//
// Reading the kernel's clocks costs a system call, so the total suspension is refreshed only every
// PollInterval, and by Refresh before each order whose safety depends on it.

const (
	// PollInterval is the interval between reads of the kernel's clocks. After a suspension, a
	// process may miss the suspended time for up to this long, except where Refresh is called
	// first; the users' platform allows 3 s to catch up. Each read wakes the process: with 100 ms,
	// a simulated day of 11 routers with little load cost 6.38 s of processor time instead of 6.09 s
	// (means of three runs each).
	PollInterval = 500 * time.Millisecond
	// minSuspension is the shortest difference that counts as a suspension: the two clocks are
	// read one after the other, microseconds apart.
	minSuspension = 20 * time.Millisecond
	// maxReadTime is how long one reading of both clocks may take. A slower one, whose thread may
	// have been descheduled in between, is discarded.
	maxReadTime = time.Millisecond
	// readAttempts is the number of readings that are tried.
	readAttempts = 3
)

// suspended is the total time in nanoseconds for which the machine was suspended since the process
// started.
var suspended atomic.Int64

// Now returns the time of a clock that also runs while the machine is suspended.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns the time since t, which must be a time from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be a time from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// processStart is the time that Nanos maps to 0.
var processStart = time.Now()

// Nanos converts a time from Now to a number, for atomic variables.
func Nanos(t time.Time) int64 { return int64(t.Sub(processStart)) }

// FromNanos converts a number from Nanos back to the time.
func FromNanos(nanos int64) time.Time { return processStart.Add(time.Duration(nanos)) }

// Suspended returns the total time for which the machine was suspended since the process started,
// as of the last Refresh.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// suspensionDetector finds suspensions by comparing two clocks, which may have different epochs.
type suspensionDetector struct {
	mu sync.Mutex
	// monotonic stops while the machine is suspended; boot does not.
	monotonic, boot func() time.Duration
	// initialOffset is how far boot was ahead of monotonic when the detector was created.
	initialOffset time.Duration
}

func newSuspensionDetector(monotonic, boot func() time.Duration) *suspensionDetector {
	d := &suspensionDetector{monotonic: monotonic, boot: boot}
	d.initialOffset, _ = d.readOffset()
	return d
}

// readOffset returns how far boot is ahead of monotonic, less at most maxReadTime; false if each
// reading took longer than that.
func (d *suspensionDetector) readOffset() (time.Duration, bool) {
	for range readAttempts {
		before := d.monotonic()
		boot := d.boot()
		after := d.monotonic()
		if after-before <= maxReadTime {
			return boot - after, true
		}
	}
	return 0, false
}

// totalSuspension returns the total time for which the machine was suspended. It returns known if
// the total exceeds it by less than minSuspension, or if the clocks could not be read fast enough.
func (d *suspensionDetector) totalSuspension(known time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	offset, ok := d.readOffset()
	if !ok || offset-d.initialOffset-known < minSuspension {
		return known
	}
	return offset - d.initialOffset
}

// Refresh checks whether the machine was suspended since the last Refresh, and returns for how
// long. It returns 0 where CountsSuspension is false.
func Refresh() time.Duration {
	if kernel == nil {
		return 0
	}
	for {
		known := suspended.Load()
		found := int64(kernel.totalSuspension(time.Duration(known)))
		if found <= known {
			return 0
		}
		if suspended.CompareAndSwap(known, found) {
			return time.Duration(found - known)
		}
	}
}

// SimulateSuspension advances Now as if the machine had been suspended for d, until restore is
// called. It is for tests, which must not run in parallel with others.
func SimulateSuspension(d time.Duration) (restore func()) {
	before := suspended.Add(int64(d)) - int64(d)
	return func() { suspended.Store(before) }
}
