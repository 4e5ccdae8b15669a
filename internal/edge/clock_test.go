package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// handClock is a clock that is set by hand.
type handClock struct{ now time.Duration }

func (c *handClock) Now() time.Duration { return c.now }

// TestSuspensionCountsForDeadlines suspends the machine for 1 to 10 s in the middle of a request: the
// time left to its deadline shrinks by as much.
func TestSuspensionCountsForDeadlines(t *testing.T) {
	for _, suspended := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		base, boot := &handClock{5 * time.Second}, &handClock{time.Hour}
		c := &RequestClock{Base: base, Boot: boot}
		c.Update()
		began := c.Now()
		deadline := began + 2*time.Second
		base.now += 100 * time.Millisecond
		boot.now += 100*time.Millisecond + suspended
		c.Update()
		require.Equal(t, began+100*time.Millisecond+suspended, c.Now())
		require.Equal(t, 1900*time.Millisecond-suspended, deadline-c.Now())
	}
}

// TestClocksReadOneAfterTheOtherAreNoSuspension has the difference between the clocks jitter.
func TestClocksReadOneAfterTheOtherAreNoSuspension(t *testing.T) {
	base, boot := &handClock{}, &handClock{time.Hour}
	c := &RequestClock{Base: base, Boot: boot}
	c.Update()
	for i := range 1000 {
		before := c.Now()
		base.now += 50 * time.Millisecond
		boot.now = time.Hour + base.now + time.Duration(i%7)*time.Millisecond
		c.Update()
		require.Equal(t, before+50*time.Millisecond, c.Now())
	}
}
