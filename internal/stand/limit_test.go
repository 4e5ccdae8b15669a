package stand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimitWatchCountsRequestsOverTheLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   float64
		from    time.Duration
		every   time.Duration
		exceeds bool
	}{
		{"no limit", 0, 0, time.Millisecond, false},
		{"hosts may not know it yet", 10, 0, time.Millisecond, false},
		{"at the limit", 10, limitGrace, 100 * time.Millisecond, false},
		{"twice the limit", 10, limitGrace, 50 * time.Millisecond, true},
	} {
		var l limitWatch
		now := time.Unix(0, 0)
		l.name(now, c.limit)
		exceeds := false
		for d := c.from; d < c.from+limitGrace-c.every; d += c.every {
			exceeds = l.record(now.Add(d)) || exceeds
		}
		require.Equal(t, c.exceeds, exceeds, c.name)
	}
}
