package clientconn

import (
	"math"
	"syscall"
)

// Descriptors returns the number of file descriptors that the process may have: the configured
// limit, or the system's if that is 0.
func Descriptors(configured int64) int {
	if configured > 0 {
		return int(configured)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
