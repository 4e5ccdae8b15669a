package edge

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// BootClock is a monotonic clock that also advances while the machine is suspended, unlike Go's:
// the age of a lease or of an answer must include that time.
type BootClock struct{}

// Now returns the time since the machine booted.
func (BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// maxClockGap is the difference between two clocks that counts as a suspension; smaller ones come from
// reading them one after the other.
const maxClockGap = 10 * time.Millisecond

// RequestClock is the clock for requests: as cheap to read as Base, and set forward after a suspension,
// which Base does not count, so that a deadline that has passed meanwhile is not extended.
type RequestClock struct {
	// Base is the clock that is read for each request, Boot the one that advances while suspended.
	Base, Boot tier.Clock

	ahead atomic.Int64
	// start is what Boot was ahead of Base at the first Update.
	start   time.Duration
	started bool
}

// Now returns the time, with suspensions up to the last Update.
func (c *RequestClock) Now() time.Duration { return c.Base.Now() + time.Duration(c.ahead.Load()) }

// Update compares the clocks and counts a suspension since the last call. It must not be called
// concurrently.
func (c *RequestClock) Update() {
	gap := c.Boot.Now() - c.Base.Now()
	if !c.started {
		c.started, c.start = true, gap
	}
	if missed := gap - c.start - time.Duration(c.ahead.Load()); missed > maxClockGap {
		c.ahead.Add(int64(missed))
	}
}
