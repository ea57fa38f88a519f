// Package clock measures elapsed time with two bounds, so that a holder and a
// waiter can each use the bound that is safe for them.
//
// A machine frozen whole may come back with a monotonic clock that stood still
// and a wall clock that moved, or the other way round. No single clock can be
// trusted, so every reading carries the largest and the smallest time that any
// of the machine's clocks says has passed. Whoever holds a right that ends (a
// grant, a leadership lease) compares with Upper and stops early. Whoever waits
// for another's right to end compares with Lower and waits long enough.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on one process's own time line, counted from the start
// of that process. Instants of different processes are never comparable.
type Instant struct {
	// Upper is the most time that can have passed since the process started.
	Upper time.Duration `json:"upper"`
	// Lower is the least time that must have passed since the process started.
	Lower time.Duration `json:"lower"`
}

// Exact returns the instant at which both bounds agree, as in virtual time.
func Exact(elapsed time.Duration) Instant {
	return Instant{Upper: elapsed, Lower: elapsed}
}

// Add returns the instant later by d on both bounds.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Upper: i.Upper + d, Lower: i.Lower + d}
}

// HolderExpired reports whether a right held until end may have ended at i.
// The holder of the right must stop as soon as it is true.
func (i Instant) HolderExpired(end time.Duration) bool {
	return i.Upper >= end
}

// SurelyReached reports whether at least until has passed at i, whatever clock
// is believed. A process that waits for another's right to end uses it.
func (i Instant) SurelyReached(until time.Duration) bool {
	return i.Lower >= until
}

// Source tells the time of one process.
type Source interface {
	// Now returns the current instant. Both bounds never decrease.
	Now() Instant
}

// System reads the monotonic, boot-time and wall clocks of this machine.
// It is safe for concurrent use.
type System struct {
	mu       sync.Mutex
	previous sample
	current  Instant
}

// sample is one reading of the three clocks.
type sample struct {
	monotonic time.Duration
	boot      time.Duration
	wall      time.Duration
}

// NewSystem returns a source whose time line starts now.
func NewSystem() *System {
	return &System{previous: readSample()}
}

// Now returns the current instant of the machine's clocks.
func (s *System) Now() Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := readSample()
	s.current = advance(s.current, s.previous, next)
	s.previous = next
	return s.current
}

// advance adds to each bound the largest and smallest step of the three clocks.
// A clock that went backwards counts as one that stood still.
func advance(at Instant, from, to sample) Instant {
	monotonic := max(0, to.monotonic-from.monotonic)
	boot := max(0, to.boot-from.boot)
	wall := max(0, to.wall-from.wall)
	at.Upper += max(monotonic, boot, wall)
	at.Lower += min(monotonic, boot, wall)
	return at
}

func readSample() sample {
	return sample{
		monotonic: readClock(unix.CLOCK_MONOTONIC),
		boot:      readClock(unix.CLOCK_BOOTTIME),
		wall:      readClock(unix.CLOCK_REALTIME),
	}
}

// readClock returns zero for a clock that the kernel does not have; such a
// clock then counts as one that stands still.
func readClock(id int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(id, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// Virtual follows Go's own clock only. Inside a testing/synctest bubble that
// clock is virtual, so that tests give the same result every run.
type Virtual struct {
	start time.Time
}

// NewVirtual returns a source whose time line starts now.
func NewVirtual() *Virtual {
	return &Virtual{start: time.Now()}
}

// Now returns the time since the source was made, with both bounds equal.
func (v *Virtual) Now() Instant {
	return Exact(time.Since(v.start))
}
