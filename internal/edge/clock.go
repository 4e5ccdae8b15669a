package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock counts while the machine is suspended, which Go's own monotonic
// time does not: the age of a lease or of an answer must not stand still with it.
type BootClock struct{}

// Now returns the time since the machine started.
func (BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
