package reqst

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// stalePlan returns a plan of two shards with two servers each. The first shard was
// answered, and all servers refused the second because they no longer hold its snapshot.
func stalePlan(t *testing.T) *Plan {
	p := &Plan{
		Layout:  layoutOf([][]tier.ServerID{{"a", "b"}, {"c", "d"}}),
		Options: PlanOptions{Deadline: time.Second, Timeout: time.Second},
		Hedge:   func(time.Duration, int, time.Duration) bool { return false },
		Retry:   func(int) bool { return true },
		Select:  func(_ time.Duration, _ tier.Shard, list []tier.Candidate) int { return len(list) - 1 },
	}
	for queue := p.Start(0); len(queue) > 0; queue = queue[1:] {
		a := queue[0]
		if a.Kind != ActSend {
			continue
		}
		r := conn.Reply{Attempt: a.Attempt, Shard: a.Shard, Server: a.Server, Result: conn.ResultNotRun, Reason: tier.ReasonVersion}
		if a.Shard == 0 {
			r.Result, r.Snapshot = conn.ResultDone, p.Layout.Snapshot
		}
		queue = append(queue, p.Reply(0, r)...)
	}
	require.True(t, p.Finished())
	require.True(t, p.Stale())
	return p
}

// TestLostShardBesideDroppedOnesIsStale ends a plan of three shards for different reasons, as after a freeze during which the
// servers dropped the pinned snapshot.
func TestLostShardBesideDroppedOnesIsStale(t *testing.T) {
	for _, c := range []struct {
		reasons [3]tier.Reason
		died    bool
		want    bool
	}{
		{reasons: [3]tier.Reason{tier.ReasonVersion, tier.ReasonVersion, tier.ReasonVersion}, want: true},
		{reasons: [3]tier.Reason{tier.ReasonVersion, tier.ReasonVersion, tier.ReasonLost}, want: true},
		{reasons: [3]tier.Reason{tier.ReasonNone, tier.ReasonNoOwner, tier.ReasonVersion}, want: true},
		{reasons: [3]tier.Reason{tier.ReasonNone, tier.ReasonLost, tier.ReasonNoOwner}, want: false},
		{reasons: [3]tier.Reason{tier.ReasonVersion, tier.ReasonServerError, tier.ReasonVersion}, want: false},
		{reasons: [3]tier.Reason{tier.ReasonVersion, tier.ReasonLost, tier.ReasonVersion}, died: true, want: false},
		{reasons: [3]tier.Reason{}, want: false},
	} {
		p := &Plan{
			Layout:  layoutOf([][]tier.ServerID{{"a"}, {"b"}, {"c"}}),
			Options: PlanOptions{Deadline: time.Second, Timeout: time.Second},
			Hedge:   func(time.Duration, int, time.Duration) bool { return false },
			Retry:   func(int) bool { return false },
			Select:  func(_ time.Duration, _ tier.Shard, list []tier.Candidate) int { return len(list) - 1 },
		}
		for _, a := range p.Start(0) {
			r := conn.Reply{Attempt: a.Attempt, Shard: a.Shard, Server: a.Server, Result: conn.ResultFailed, Reason: c.reasons[a.Shard]}
			if r.Reason == tier.ReasonNone {
				r.Result, r.Snapshot = conn.ResultDone, p.Layout.Snapshot
			}
			r.Died = c.died && r.Reason == tier.ReasonLost
			p.Reply(0, r)
		}
		require.Equal(t, c.want, p.Stale(), "%v", c)
	}
}

func TestStalePlanComparedWithCurrentLayout(t *testing.T) {
	newer := layoutOf([][]tier.ServerID{{"a"}})
	newer.Snapshot.Version = 2
	for _, c := range []struct {
		name string
		now  *vers.Layout
		want LayoutStatus
	}{
		{"unchanged", layoutOf([][]tier.ServerID{{"a", "b"}, {"c", "d"}}), LayoutUnchanged},
		{"one of the refusing servers is gone", layoutOf([][]tier.ServerID{{"a", "b"}, {"c"}}), LayoutUnchanged},
		{"all refusing servers are gone", layoutOf([][]tier.ServerID{{"a", "b"}, {}}), LayoutNoServer},
		{"another server has the shard", layoutOf([][]tier.ServerID{{"a", "b"}, {"c", "e"}}), LayoutMoved},
		{"the answered shard does not matter", layoutOf([][]tier.ServerID{{}, {"e"}}), LayoutMoved},
		{"another snapshot version", newer, LayoutMoved},
		{"no service", nil, LayoutNoServer},
	} {
		require.Equal(t, c.want, stalePlan(t).CompareLayout(c.now), c.name)
	}
}

func TestBetterAnswer(t *testing.T) {
	answer := func(o tier.Outcome, version tier.IndexVersion, shards tier.Shard, covered int) tier.QueryAnswer {
		return tier.QueryAnswer{Outcome: o, Snapshot: tier.Snapshot{Version: version, Shards: shards}, Shards: make([]tier.ShardAnswer, covered)}
	}
	for _, c := range []struct {
		name           string
		earlier, later tier.QueryAnswer
		takesLater     bool
	}{
		{"no earlier answer", tier.QueryAnswer{}, answer(tier.NotRun, 1, 3, 0), true},
		{"complete after partial", answer(tier.Partial, 1, 3, 2), answer(tier.Done, 2, 6, 6), true},
		{"less coverage after partial", answer(tier.Partial, 1, 3, 2), answer(tier.Partial, 2, 6, 3), false},
		{"equal coverage after partial", answer(tier.Partial, 1, 3, 2), answer(tier.Partial, 2, 6, 4), false},
		{"a query that ran is never reported as not run", answer(tier.Partial, 1, 3, 0), answer(tier.NotRun, 2, 6, 0), false},
		{"no server after partial", answer(tier.Partial, 1, 3, 1), notRun(tier.ReasonNoServer, 0), false},
		{"ran after not run", answer(tier.NotRun, 1, 3, 0), answer(tier.Partial, 2, 6, 0), true},
	} {
		got := betterAnswer(c.earlier, c.later)
		want := c.earlier
		if c.takesLater {
			want = c.later
		}
		require.Equal(t, want, got, c.name)
	}
}
