package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is the wall time that the process's first reading stands for; only differences of readings mean anything.
var (
	origin = time.Now().Round(0)
	first  = boot()
)

// Now returns the present moment. Unlike time.Now, it also counts the time for which the machine was suspended, and it
// does not follow steps of the time of day.
func Now() time.Time {
	return origin.Add(boot() - first)
}

// Since returns the time elapsed since a moment that Now returned.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock; without it no age can be trusted.
		panic("clock: no boot time: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
