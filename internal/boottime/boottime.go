// Package boottime reads the Linux clock CLOCK_BOOTTIME. It is monotonic and, unlike the
// monotonic clock of the Go runtime, also counts time in which the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. It panics if the clock is unavailable.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock, and without it the age of the
		// configuration and the store data can't be determined.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
