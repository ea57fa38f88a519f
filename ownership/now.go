package ownership

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Now returns the time to pass to a Holder. Unlike the monotonic clock of time.Now, it also counts
// the time during which the machine is suspended, in which another server may be granted the keys.
// On Linux it follows CLOCK_BOOTTIME. Where no such clock exists, CountsSuspension returns false
// and Now is equal to time.Now: a server that may be suspended there must not hold keys.
//
// Each call reads the kernel's clocks, which takes about a microsecond.
func Now() time.Time {
	clock.Refresh()
	return clock.Now()
}

// CountsSuspension reports whether Now counts the time during which the machine is suspended.
func CountsSuspension() bool { return clock.CountsSuspension() }
