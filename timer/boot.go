package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including the time that it was
// suspended. It measures ages that must not come out shorter after a suspension. It panics if
// the clock can't be read.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
