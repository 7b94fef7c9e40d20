// Package boottime reads a clock that never steps and, unlike the runtime's
// monotonic clock, also counts the time in which the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39; without it no age is known.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
