package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// kernel compares two clocks of the Linux kernel: CLOCK_BOOTTIME counts the time during which the
// machine is suspended; CLOCK_MONOTONIC, which time.Now reads, does not. It is nil if the kernel
// lacks one of them.
var kernel = newKernel()

func newKernel() *suspensionDetector {
	for _, id := range []int32{unix.CLOCK_MONOTONIC, unix.CLOCK_BOOTTIME} {
		if _, err := kernelTime(id); err != nil {
			return nil
		}
	}
	return newSuspensionDetector(clockReader(unix.CLOCK_MONOTONIC), clockReader(unix.CLOCK_BOOTTIME))
}

// clockReader returns a function that reads a kernel clock that newKernel has read successfully.
func clockReader(id int32) func() time.Duration {
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

// CountsSuspension reports whether Now counts the time during which the machine is suspended.
func CountsSuspension() bool { return kernel != nil }
