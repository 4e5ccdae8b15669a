package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const ms = time.Millisecond

// kind holds the expected times of a request for which leaving the zone costs 25 ms.
var kind = Timing{Base: 30 * ms, Target: 25 * zoneCostDivisor * ms}

func newBoard() *Board {
	b := &Board{Zone: "a"}
	b.Start()
	return b
}

var servers = []tier.Candidate{{Server: "near", Zone: "a"}, {Server: "far", Zone: "b"}, {Server: "far2", Zone: "c"}}

func (b *Board) pick(now time.Duration) tier.ServerID {
	return servers[b.Pick(now, kind, servers)].Server
}

func TestOwnZoneIsPreferred(t *testing.T) {
	require.Equal(t, tier.ServerID("near"), newBoard().pick(0))
}

// TestOwnZoneIsKeptWithinTarget checks that a slower server of the own zone is
// kept while it answers within the target: within it, an earlier answer is worth
// no more.
func TestOwnZoneIsKeptWithinTarget(t *testing.T) {
	b := newBoard()
	relaxed := Timing{Base: 30 * ms, Target: 200 * ms}
	for now := time.Duration(0); now < time.Second; now += 10 * ms {
		b.RecordAnswer(now, "near", 2.5)
	}
	require.Equal(t, 0, b.Pick(time.Second, relaxed, servers))
	require.NotEqual(t, 0, b.Pick(time.Second, kind, servers))
	for now := time.Second; now < 2*time.Second; now += 10 * ms {
		b.RecordAnswer(now, "near", 6)
	}
	require.NotEqual(t, 0, b.Pick(2*time.Second, relaxed, servers))
}

// TestSlowServerIsAvoidedAndRetried simulates a server that takes eight times as
// long as usual for eight seconds.
func TestSlowServerIsAvoidedAndRetried(t *testing.T) {
	b := newBoard()
	sent := 0
	for now := time.Duration(0); now < 16*time.Second; now += 100 * ms {
		id := b.pick(now)
		ratio := 1.0
		if id == "near" {
			if now < 8*time.Second {
				ratio = 8
				sent++
			}
		}
		b.RecordSent(id)
		b.RecordEnded(id)
		b.RecordAnswer(now+ms, id, ratio)
	}
	require.LessOrEqual(t, sent, 5, "of the 80 requests while the server is slow")
	require.Equal(t, tier.ServerID("near"), b.pick(16*time.Second))
}

// TestPausedServerIsAvoided checks that a lower bound of the response time is
// enough to avoid a server from which no answer has arrived yet.
func TestPausedServerIsAvoided(t *testing.T) {
	b := newBoard()
	b.RecordLowerBound(0, "near", 6)
	require.NotEqual(t, tier.ServerID("near"), b.pick(0))
	b.RecordLowerBound(0, "far", 0.2)
	require.Equal(t, tier.ServerID("far"), b.pick(0), "a bound below the current ratio must be ignored")
}

func TestFailingServerIsAvoidedForLongerEachTime(t *testing.T) {
	b := newBoard()
	b.RecordFailure(0, "near")
	require.NotEqual(t, tier.ServerID("near"), b.pick(initialCooldown-ms))
	require.Equal(t, tier.ServerID("near"), b.pick(initialCooldown))
	b.RecordFailure(initialCooldown, "near")
	require.NotEqual(t, tier.ServerID("near"), b.pick(initialCooldown+2*initialCooldown-ms))
	b.RecordAnswer(3*initialCooldown, "near", 1)
	b.RecordFailure(4*initialCooldown, "near")
	require.Equal(t, tier.ServerID("near"), b.pick(5*initialCooldown), "an answer must reset the consecutive failures")
}

func TestSomeServerIsPickedWhenAllFail(t *testing.T) {
	b := newBoard()
	for _, c := range servers {
		b.RecordFailure(0, c.Server)
	}
	require.GreaterOrEqual(t, b.Pick(0, kind, servers), 0)
	require.Equal(t, -1, b.Pick(0, kind, nil))
}

func TestFullServersAreAvoided(t *testing.T) {
	for _, c := range []struct {
		name string
		fill func(*Board)
	}{
		{"the server refused", func(b *Board) { b.RecordRefusal(0, "near") }},
		{"the server reported a queue", func(b *Board) { b.RecordLoad(0, "near", Load{Running: 4, Waiting: 8, Slots: 4}) }},
		{"this node's connections to the server are all in use", func(b *Board) {
			b.Limit = func(tier.ServerID) int { return 1 }
			b.RecordSent("near")
		}},
	} {
		b := newBoard()
		c.fill(b)
		require.NotEqual(t, tier.ServerID("near"), b.pick(0), c.name)
	}
}

func TestMedianHoldsWhileFewerThanHalfAreSlow(t *testing.T) {
	var m Median
	require.Equal(t, 50*ms, m.Value(50*ms))
	for i := range 1000 {
		d := 30 * ms
		if i%5 < 2 {
			d = 300 * ms
		}
		m.Add(d)
	}
	require.Equal(t, 30*ms, m.Value(0))
	for range 2 * medianWindow {
		m.Add(10 * ms)
	}
	require.Equal(t, 10*ms, m.Value(0))
}

func TestForgetDropsRemovedServers(t *testing.T) {
	b := newBoard()
	b.RecordLowerBound(0, "near", 9)
	b.RecordLowerBound(0, "far", 9)
	b.Forget(func(id tier.ServerID) bool { return id == "near" })
	require.Len(t, b.servers, 1)
}

// TestServerRefusingHalfIsAvoided simulates a near server that sheds half of its
// requests although it is not full, and then one that rarely refuses.
func TestServerRefusingHalfIsAvoided(t *testing.T) {
	b := newBoard()
	near := 0
	for i, now := 0, time.Duration(0); now < 10*time.Second; i, now = i+1, now+100*ms {
		id := b.pick(now)
		switch {
		case id == "near" && i%2 == 0:
			near++
			b.RecordRefusal(now, id)
		case id == "near":
			near++
			b.RecordAnswer(now, id, 1)
		default:
			b.RecordAnswer(now, id, 1)
		}
	}
	require.Less(t, near, 20, "requests of 100 sent to the server that refuses half")
	b = newBoard()
	near = 0
	for i, now := 0, time.Duration(0); now < 10*time.Second; i, now = i+1, now+100*ms {
		if b.pick(now) == "near" {
			near++
			if i%30 == 29 {
				b.RecordRefusal(now, "near")
				continue
			}
			b.RecordAnswer(now, "near", 1)
		}
	}
	require.Greater(t, near, 85, "rare refusals must not matter")
}

// TestReportedSlowdownExpires checks that a server that reports an eightfold
// slowdown is avoided at once and tried again when the report is old, and that
// the effect of a false report is bounded.
func TestReportedSlowdownExpires(t *testing.T) {
	b := newBoard()
	b.RecordLoad(0, "near", Load{Slots: 4, Slowdown: 8})
	require.NotEqual(t, tier.ServerID("near"), b.pick(5*ms))
	require.Equal(t, tier.ServerID("near"), b.pick(500*ms), "the report is old")
	b.RecordLoad(time.Second, "near", Load{Slots: 4, Slowdown: 1})
	require.Equal(t, tier.ServerID("near"), b.pick(time.Second))
	b.RecordLoad(time.Second, "near", Load{Slots: 4})
	require.Equal(t, tier.ServerID("near"), b.pick(time.Second), "no slowdown is reported")
	b.RecordLoad(time.Second, "near", Load{Slots: 4, Slowdown: 1e9})
	cost := b.Cost(time.Second, kind, servers[0])
	require.LessOrEqual(t, cost, maxRatio*kind.Base, "a false report must have a bounded effect")
}

// TestFastServerWithQueueIsPreferred: guards against requests to slow servers while the fast ones have short queues and the usual
// time has grown by the queues of all. A host that sends searches to many shards also remembers a slow server for longer.
func TestFastServerWithQueueIsPreferred(t *testing.T) {
	k := Timing{Base: 60 * time.Millisecond, Quick: 20 * time.Millisecond, Target: 300 * time.Millisecond}
	for _, c := range []struct {
		wide bool
		want int
	}{{false, 1}, {true, 0}} {
		b := &Board{Wide: c.wide}
		b.Start()
		for range 5 {
			b.RecordAnswer(0, "fast", 2)
			b.RecordAnswer(0, "slow", 4)
		}
		b.RecordLoad(0, "fast", Load{Running: 4, Waiting: 12, Slots: 4})
		list := []tier.Candidate{{Server: "fast"}, {Server: "slow"}}
		require.Equal(t, c.want, b.Pick(0, k, list), "wide: %v", c.wide)
		remembered := b.Cost(3*time.Second, k, list[1]) > 2*k.Base
		require.Equal(t, c.wide, remembered, "wide: %v", c.wide)
	}
}
