package reqst

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestRequestIsRejectedWhenQueuesWouldMakeItLate: servers of some of ten shards report
// full queues; the route allows one missing shard.
func TestRequestIsRejectedWhenQueuesWouldMakeItLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		behind int
		left   time.Duration
		reject bool
	}{
		{"no queues", 0, time.Second, false},
		{"one shard may be missing", 1, time.Second, false},
		{"two shards may not be missing", 2, time.Second, true},
		{"the request is late already", 2, 700 * time.Millisecond, false},
	} {
		d := benchForwarder(t, 10)
		d.Log = logrus.New()
		d.Log.SetOutput(io.Discard)
		for range 64 {
			d.latencyMedian("search").Add(100 * time.Millisecond)
		}
		now := d.Clock.Now()
		for shard := range c.behind {
			for r := range 3 {
				id := tier.ServerID(fmt.Sprintf("s-%d-%d", shard, r))
				for range 20 {
					d.Board.RecordAnswer(now, id, 4)
				}
				d.Board.RecordLoad(now, id, pace.Load{Running: 5, Waiting: 100, Slots: 5})
			}
		}
		in := &Inbound{ID: "id", Method: http.MethodGet, Target: "/q", Path: "/q", Host: "search.example", Header: http.Header{"X-Request-Id": {"id"}}, TimeLeft: c.left}
		out := d.Forward(context.Background(), in)
		if !c.reject {
			require.Equal(t, http.StatusOK, out.Status, c.name)
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, out.Status, c.name)
		require.Equal(t, tier.ReasonOverload, out.Reason, c.name)
		require.Equal(t, shortRetryAfter, out.RetryAfter, c.name)
		require.Empty(t, d.extraBudgets, "%s: a rejected request must not count as a first sub-request", c.name)
	}
}

// TestTimeKeptForTheWayToTheCaller covers the targets of the three users: what is kept covers the way
// of 4.4 ms each to another zone and back wherever three quarters of the target are left.
func TestTimeKeptForTheWayToTheCaller(t *testing.T) {
	const way = 2 * 4400 * time.Microsecond
	for _, c := range []struct{ target, kept time.Duration }{
		{20 * time.Millisecond, 5 * time.Millisecond},
		{40 * time.Millisecond, 10 * time.Millisecond},
		{80 * time.Millisecond, 14 * time.Millisecond},
		{200 * time.Millisecond, 25 * time.Millisecond},
		{800 * time.Millisecond, 100 * time.Millisecond},
	} {
		require.Equal(t, c.kept, returnTime(c.target), c.target)
		if c.target/4 > way {
			require.Greater(t, returnTime(c.target), way, c.target)
		}
		require.LessOrEqual(t, returnTime(c.target), c.target/4)
	}
}
