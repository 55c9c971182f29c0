// Package clock reads a monotonic clock that, unlike that of package time, goes on
// while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the zero time where the kernel has no such clock.
var processStart = time.Now()

// SinceBoot returns the time since the machine was booted, including the time in
// which it was suspended. It never goes back. Where the kernel has no such clock, it
// returns the time since the process started, without suspensions; so only
// differences between two results of one process have a meaning.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
