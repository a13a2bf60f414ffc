package server

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonicNow returns the time on a clock that never jumps and that includes
// the time during which the machine was suspended. Only differences between its
// values are meaningful.
func monotonicNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists on every supported Linux
	}
	return time.Unix(ts.Unix())
}
