// Package uptime returns the time since the instance was booted, including the time that it was suspended. Leases are
// measured with it, since the monotonic clock of the Go runtime stops while an instance is suspended.
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

// sinceProcessStart is the fallback if the kernel does not provide CLOCK_BOOTTIME.
func sinceProcessStart() time.Duration { return time.Since(processStart) }
