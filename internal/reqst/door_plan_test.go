package reqst

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const ms = time.Millisecond

// forwardPlan makes a plan over shards of three servers each, as the door does.
func forwardPlan(shards int, t Terms) *Plan {
	list := make([][]tier.ServerID, shards)
	for i := range list {
		for r := range 3 {
			list[i] = append(list[i], tier.ServerID(rune('a'+3*i+r)))
		}
	}
	yes := func(int) bool { return true }
	return &Plan{
		Layout: layoutOf(list), Terms: t, Retry: yes,
		Hedge:  func(time.Duration, int, time.Duration) bool { return true },
		Select: func(_ time.Duration, _ tier.Shard, list []tier.Candidate) int { return min(len(list), 1) - 1 },
	}
}

// answer replies to every send among acts and returns what the plan does then.
func answer(p *Plan, now time.Duration, acts []Action, r conn.Reply) (sends []Action) {
	for _, a := range acts {
		if a.Kind != ActSend {
			continue
		}
		r.Attempt, r.Shard, r.Server, r.Snapshot = a.Attempt, a.Shard, a.Server, p.Layout.Snapshot
		for _, next := range p.Reply(now, r) {
			if next.Kind == ActSend {
				sends = append(sends, next)
			}
		}
	}
	return sends
}

func done() conn.Reply { return conn.Reply{Fate: conn.FateDone, Data: []byte("x"), Mark: "m"} }

// TestServersWithoutRoomAreAskedAgain replays a loss of power: the servers
// still count the connections of the nodes' former starts and reset new ones,
// and there is no budget for repeats yet. The first reset leaves open whether
// the request ran; from then on it is sent on accepted connections only.
func TestServersWithoutRoomAreAskedAgain(t *testing.T) {
	p := forwardPlan(1, Terms{Deadline: time.Second, Timeout: time.Second, Attempts: 2, Again: 25 * ms})
	p.Retry = func(int) bool { return false }
	now := time.Duration(0)
	acts := p.Start(now)
	require.False(t, acts[0].Careful)
	acts = answer(p, now, acts, conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonRefused})
	for round := range mostRounds {
		require.Empty(t, acts, "it waits")
		require.False(t, p.Finished())
		require.Equal(t, now+25*ms<<round, p.Next())
		now = p.Next()
		acts = p.Tick(now)
		for range 3 {
			require.Len(t, acts, 1)
			require.True(t, acts[0].Careful)
			if round == mostRounds-1 {
				break
			}
			acts = answer(p, now, acts, conn.Reply{Fate: conn.FateNotRun, Reason: tier.ReasonLost})
		}
	}
	answer(p, now, acts, done())
	require.True(t, p.Finished())
	require.True(t, p.Covered())
}

// TestResetsAreRepeatsOfTheBudget replays servers that reset requests which
// they have received: each other try is paid for, and bounded by the attempts.
func TestResetsAreRepeatsOfTheBudget(t *testing.T) {
	p := forwardPlan(1, Terms{Deadline: time.Second, Timeout: time.Second, Attempts: 2, Again: 25 * ms})
	paid := 0
	p.Retry = func(int) bool { paid++; return true }
	refused := conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonRefused}
	acts := answer(p, 0, p.Start(0), refused)
	require.Len(t, acts, 1)
	require.Equal(t, 1, paid)
	acts = answer(p, 0, acts, refused)
	require.Empty(t, acts)
	require.True(t, p.Finished())
}

// TestAttemptsBoundTheServersThatMayHaveRunAShard has servers fail and refuse.
func TestAttemptsBoundTheServersThatMayHaveRunAShard(t *testing.T) {
	p := forwardPlan(1, Terms{Deadline: time.Second, Timeout: time.Second, Attempts: 2})
	acts := answer(p, 0, p.Start(0), conn.Reply{Fate: conn.FateNotRun, Reason: tier.ReasonShed})
	acts = answer(p, 0, acts, conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonServerError})
	require.Len(t, acts, 1, "the first one did not run it")
	acts = answer(p, 0, acts, conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonServerError})
	require.Empty(t, acts)
	require.True(t, p.Finished())
}

// TestOnceIsSentAgainOnlyIfItDidNotRun is for requests that must not be repeated.
func TestOnceIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply conn.Reply
		again bool
	}{
		{"the server says that it did not run it", conn.Reply{Fate: conn.FateNotRun, Reason: tier.ReasonShed}, true},
		{"nothing listens", conn.Reply{Fate: conn.FateNotRun, Reason: tier.ReasonLost}, true},
		{"the connection broke", conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonLost}, false},
		{"the connection was reset at once", conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonRefused}, false},
		{"nonsense came back", conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonTruncated}, false},
		{"the server failed", conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonServerError}, false},
	} {
		p := forwardPlan(1, Terms{Deadline: time.Second, Timeout: time.Second, Attempts: 3, Once: true, Again: 25 * ms})
		acts := answer(p, 0, p.Start(0), c.reply)
		require.Equal(t, c.again, len(acts) == 1, c.name)
		require.Equal(t, c.again, !p.Finished(), c.name)
		require.Equal(t, !c.again, p.Ran(), c.name)
	}
}

// TestAnswerIsGivenWithoutAStragglerOnceItWouldBeLate replays one dark shard of ten.
func TestAnswerIsGivenWithoutAStragglerOnceItWouldBeLate(t *testing.T) {
	p := forwardPlan(10, Terms{Deadline: time.Second, Timeout: time.Second, Attempts: 1, Least: 9, Settle: 170 * ms})
	acts := p.Start(0)
	answer(p, 30*ms, acts[:8], done())
	require.False(t, p.Finished())
	p.Tick(170 * ms)
	require.False(t, p.Finished(), "eight are too few, and a late answer is better than none")
	answer(p, 190*ms, acts[8:9], done())
	require.True(t, p.Finished(), "nine suffice, and the time has come")
	marks, data, missing := p.Marks()
	require.Len(t, marks, 9)
	require.Len(t, data, 9)
	require.Equal(t, 1, missing)
}

// TestRouteWithoutATargetIsInTimeUntilItsTimeout waits for stragglers of a
// route whose operator names no target.
func TestRouteWithoutATargetIsInTimeUntilItsTimeout(t *testing.T) {
	f := &flight{route: &vers.Route{Gather: []tier.Service{"a", "b"}, Timeout: 800 * ms, Idempotent: true}, in: &Inbound{}}
	f.times(0)
	require.Equal(t, 800*ms, f.target)
	require.Equal(t, 700*ms, f.terms().Settle)
	f.in.Left = 400 * ms
	f.times(0)
	require.Equal(t, 400*ms, f.target)
	f.route.Target = 200 * ms
	f.in.Left = 0
	f.times(0)
	require.Equal(t, 200*ms, f.target)
}

// TestTooManyMissingShardsEndARequestAtOnce does not let it wait for its deadline.
func TestTooManyMissingShardsEndARequestAtOnce(t *testing.T) {
	p := forwardPlan(10, Terms{Deadline: time.Second, Timeout: time.Second, Attempts: 1, Least: 9})
	p.Retry = func(int) bool { return false }
	acts := p.Start(0)
	answer(p, 5*ms, acts[:1], conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonLost})
	require.False(t, p.Finished())
	answer(p, 6*ms, acts[1:2], conn.Reply{Fate: conn.FateFailed, Reason: tier.ReasonLost})
	require.True(t, p.Finished())
	require.False(t, p.Covered())
}

// TestShardThatShedsIsNotHedged sends no second request into servers that are full.
func TestShardThatShedsIsNotHedged(t *testing.T) {
	p := forwardPlan(2, Terms{Deadline: time.Second, Timeout: time.Second, HedgeDelay: 50 * ms, Attempts: 2})
	acts := p.Start(0)
	answer(p, 1*ms, acts[:1], conn.Reply{Fate: conn.FateNotRun, Reason: tier.ReasonShed})
	var hedged []tier.Shard
	for now := 10 * ms; now < 500*ms; now += 10 * ms {
		for _, a := range p.Tick(now) {
			if a.Kind == ActSend && a.Hedge {
				hedged = append(hedged, a.Shard)
			}
		}
	}
	require.Equal(t, []tier.Shard{1}, hedged)
}
