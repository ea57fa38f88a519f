package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// kernel compares Linux's clocks: CLOCK_BOOTTIME counts the time for which the machine is
// suspended, and CLOCK_MONOTONIC, which time.Now reads, does not. Nil if the kernel has none.
var kernel = newKernel()

func newKernel() *detector {
	for _, id := range []int32{unix.CLOCK_MONOTONIC, unix.CLOCK_BOOTTIME} {
		if _, err := kernelTime(id); err != nil {
			return nil
		}
	}
	return newDetector(reader(unix.CLOCK_MONOTONIC), reader(unix.CLOCK_BOOTTIME))
}

// reader returns a function that reads a clock of the kernel, which was there at the start.
func reader(id int32) func() time.Duration {
	return func() time.Duration {
		now, _ := kernelTime(id)
		return now
	}
}

func kernelTime(id int32) (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(id, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}

// Counts reports whether Now counts the time for which the machine is suspended.
func CountsSuspension() bool { return kernel != nil }
