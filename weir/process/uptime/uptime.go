// Package uptime tells the time since the boot of the instance, including time that it was suspended. Leases are
// measured on it, since the monotonic clock of the runtime stands still while an instance is suspended.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return sinceProcessStart()
	}

	return time.Duration(t.Nano())
}

var processStart = time.Now()

// monotonic stands in where the kernel has no such clock.
func sinceProcessStart() time.Duration { return time.Since(processStart) }
