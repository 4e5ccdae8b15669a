package terms

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const second = time.Second

func newTable(share float64) *Table {
	t := &Table{Share: func(tier.ServerID) float64 { return share }, Phase: func(tier.ServerID) float64 { return 0 }, Born: func(tier.ServerID) int64 { return 1 }}
	t.Start()
	return t
}

func stated(limit Rate) Statement { return Statement{LimitState: Stated, Limit: limit} }

// rateOf returns how many requests a second the table lets through for 4 s from now on.
func rateOf(t *Table, now time.Duration) float64 {
	n := 0
	for end := now + 4*second; now < end; now += time.Millisecond {
		if ok, _ := t.Allowed(now, "a"); ok {
			t.Take(now, "a")
			n++
		}
	}
	return float64(n) / 4
}

// TestEffectOfStatements lists what each sequence of answers does to the rate of a host that has half of the limit.
func TestEffectOfStatements(t *testing.T) {
	const unlimited = 1000
	type answer struct {
		at   time.Duration
		born int64
		st   Statement
	}
	for _, c := range []struct {
		name    string
		answers []answer
		at      time.Duration
		rate    float64
	}{
		{"no limit", []answer{{0, 1, Statement{}}}, 0, unlimited},
		{"a limit", []answer{{0, 1, stated(20)}}, 0, 10},
		{"the newest of two", []answer{{0, 1, stated(20)}, {second / 10, 1, stated(8)}}, second, 4},
		{"malformed: the former limit stays", []answer{{0, 1, stated(20)}, {second, 1, Statement{LimitState: Malformed}}}, second, 10},
		{"malformed only", []answer{{0, 1, Statement{LimitState: Malformed}}}, 0, unlimited},
		{"an answer without a limit that was overtaken", []answer{{0, 1, stated(20)}, {second / 5, 1, Statement{}}}, second, 10},
		{"ended and eased", []answer{{0, 1, stated(20)}, {second, 1, Statement{}}}, 6 * second, unlimited},
		{"huge", []answer{{0, 1, stated(1e9)}}, 0, unlimited},
		{"nobody has heard of it for long", []answer{{0, 1, stated(20)}}, limitTTL + easingTime, unlimited},
		{"another start of the server", []answer{{0, 1, stated(20)}, {second, 2, Statement{}}}, second, unlimited},
		{"an earlier start of the server", []answer{{0, 2, stated(20)}, {second, 1, Statement{}}}, second, 10},
		{"a pause", []answer{{0, 1, Statement{Pause: 3 * second}}}, 0, unlimited / 4},
		{"a pause and a shorter one", []answer{{0, 1, Statement{Pause: 3 * second}}, {second, 1, Statement{Pause: second}}}, 0, unlimited / 4},
		{"after a pause", []answer{{0, 1, Statement{Pause: 3 * second}}}, 3 * second, unlimited},
		{"leaving", []answer{{0, 1, Statement{Leaving: true}}, {second, 1, Statement{}}}, time.Hour, 0},
		{"leaving, then another start of the server", []answer{{0, 1, Statement{Leaving: true}}, {second, 2, Statement{}}}, second, unlimited},
		{"leaving, start not known", []answer{{0, 0, Statement{Leaving: true}}}, second, 0},
		{"leaving, start not known, long ago", []answer{{0, 0, Statement{Leaving: true}}}, leavingTTL, unlimited},
		{"zero is tried now and then", []answer{{0, 1, stated(0)}}, second, 0.125},
	} {
		table := newTable(0.5)
		for _, a := range c.answers {
			table.Born = func(tier.ServerID) int64 { return min(a.born, 1) }
			table.Record(a.at, "a", a.born, a.st)
		}
		require.InDelta(t, c.rate, rateOf(table, c.at), max(0.1*c.rate, 0.25), c.name)
	}
}

// TestNoticesOfLimits: the fleet is told of a new limit, of one that changes much, of its end, and every noticeInterval.
func TestNoticesOfLimits(t *testing.T) {
	table := newTable(1)
	for _, c := range []struct {
		at            time.Duration
		st            Statement
		changed, tell bool
	}{
		{0, stated(20), true, true},
		{second, stated(20), false, false},
		{2 * second, stated(21), false, false},
		{3 * second, stated(30), false, true},
		{9 * second, stated(30), false, true},
		{9*second + 100*time.Millisecond, Statement{}, false, false},
		{10 * second, Statement{}, true, true},
		{11 * second, Statement{}, false, false},
	} {
		changed, tell := table.Record(c.at, "a", 1, c.st)
		require.Equal(t, c.changed, changed, c.at)
		require.Equal(t, c.tell, tell, c.at)
	}
	table.Receive(12*second, Notice{Server: "a", Born: 1, Limited: true, Limit: 5})
	_, tell := table.Record(13*second, "a", 1, stated(5))
	require.False(t, tell, "another host has told the fleet")
	n, ok := table.Notice("a")
	require.True(t, ok)
	require.True(t, n.Limited)
	require.InDelta(t, 5, float64(n.Limit), 0)
}

// TestUnusedPermitsExpire: hosts that have sent nothing for long do not all send at once.
func TestUnusedPermitsExpire(t *testing.T) {
	table := newTable(1)
	table.Record(0, "a", 1, stated(10))
	for now := time.Duration(0); now < 10*second; now += 100 * time.Millisecond {
		table.Record(now, "a", 1, stated(10))
		table.Allowed(now, "a")
	}
	burst := 0
	for ok, _ := table.Allowed(10*second, "a"); ok; ok, _ = table.Allowed(10*second, "a") {
		table.Take(10*second, "a")
		burst++
	}
	require.LessOrEqual(t, burst, 6)
}

// TestLeavingServerOfOneHostIsLeftByAll: the fleet is told once, and a notice of an earlier start of the server says
// nothing of the present one.
func TestLeavingServerOfOneHostIsLeftByAll(t *testing.T) {
	first, other := newTable(1), newTable(1)
	changed, tell := first.Record(0, "a", 1, Statement{Leaving: true})
	require.True(t, changed)
	require.True(t, tell)
	_, tell = first.Record(second, "a", 1, Statement{Leaving: true})
	require.False(t, tell)
	n, ok := first.Notice("a")
	require.True(t, ok)
	other.Receive(second, n)
	allowed, _ := other.Allowed(second, "a")
	require.False(t, allowed)
	other.Born = func(tier.ServerID) int64 { return 2 }
	allowed, _ = other.Allowed(second, "a")
	require.True(t, allowed, "the server has started again")
}

// TestOddLimitEndsWithTheNextStatement: guards against a limit that is never kept again after the server, or a notice of
// another host, has once named a number that is too large, or none.
func TestOddLimitEndsWithTheNextStatement(t *testing.T) {
	for _, odd := range []Rate{1e300, math.MaxFloat64, Rate(math.Inf(1)), Rate(math.NaN()), -1} {
		for _, received := range []bool{false, true} {
			tab := newTable(1)
			now := time.Second
			switch {
			case received:
				tab.Receive(now, Notice{Server: "s", Born: 1, Limited: true, Limit: odd})
			case odd >= 0:
				tab.Record(now, "s", 1, stated(odd))
			default:
				// ParseLimit refuses it.
				continue
			}
			tab.Allowed(now, "s")
			now += time.Second
			tab.Allowed(now, "s")
			tab.Record(now, "s", 1, stated(10))
			sent := 0
			for end := now + 10*time.Second; now < end; now += 10 * time.Millisecond {
				if ok, _ := tab.Allowed(now, "s"); ok {
					tab.Take(now, "s")
					sent++
				}
			}
			require.InDelta(t, 100, sent, 10, "%v, received: %v", odd, received)
		}
	}
}
