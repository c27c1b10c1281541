package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, suspended time included,
// for ages that must not look younger after a pause.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boot clock can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
