package process

import (
	"math"
	"syscall"
)

// maxDescriptors returns how many descriptors the process may open, zero if that is not known or not limited.
func maxDescriptors() int {
	var r syscall.Rlimit

	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return 0
	}

	return int(r.Cur)
}
