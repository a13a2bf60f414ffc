package server

import (
	"time"

	"golang.org/x/sys/unix"
)

// steady is the present time on a clock that never jumps and also counts the
// time for which the machine was suspended. Only differences mean anything.
func monotonicNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Unix(ts.Unix())
}
