package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	// origin is the wall time at the start of the process. Only differences between values of Now are meaningful.
	origin = time.Now().Round(0)
	// bootTimeAtOrigin is the reading of the boot-time clock that corresponds to origin.
	bootTimeAtOrigin = bootTime()
)

// Now returns the current time. Unlike time.Now, it advances while the machine is suspended, and it does not follow changes of
// the system time.
func Now() time.Time {
	return origin.Add(bootTime() - bootTimeAtOrigin)
}

// Since returns the time elapsed since t, a value of Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// bootTime returns the time since the machine was started, suspensions included.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it no age that the program computes can be trusted.
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
