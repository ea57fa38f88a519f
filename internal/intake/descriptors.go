package intake

import (
	"math"
	"syscall"
)

// Descriptors returns the maximum number of descriptors of this process, or zero if it is unknown or not
// limited.
func Descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
