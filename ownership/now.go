package ownership

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Now returns the time to give to a Holder. Unlike the steady clock of time.Now it goes on while
// the machine is suspended: another server may hold the keys by then. On Linux it follows
// CLOCK_BOOTTIME. Where there is no such clock, CountsSuspension reports false and Now is
// time.Now: a server that may be suspended there must not hold keys.
//
// Each call asks the kernel, which takes a microsecond.
func Now() time.Time {
	clock.Refresh()
	return clock.Now()
}

// CountsSuspension reports whether Now counts the time for which the machine is suspended.
func CountsSuspension() bool { return clock.CountsSuspension() }
