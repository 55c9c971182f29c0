// Package clock reads a clock that also counts the time in which the machine
// was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the process's own origin, used where the kernel has no such clock.
var processStart = time.Now()

// SinceBoot returns the time since an arbitrary moment before the process's
// start. It never goes back and counts suspension.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
