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

// forwardPlan returns a plan over shards with three servers each, as used for forwarded
// requests.
func forwardPlan(shards int, t PlanOptions) *Plan {
	list := make([][]tier.ServerID, shards)
	for i := range list {
		for r := range 3 {
			list[i] = append(list[i], tier.ServerID(rune('a'+3*i+r)))
		}
	}
	allow := func(int) bool { return true }
	return &Plan{
		Layout: layoutOf(list), Options: t, Retry: allow,
		Hedge:  func(time.Duration, int, time.Duration) bool { return true },
		Select: func(_ time.Duration, _ tier.Shard, list []tier.Candidate) int { return min(len(list), 1) - 1 },
	}
}

// replyToSends replies to every send among acts and returns the sends that follow.
func replyToSends(p *Plan, now time.Duration, acts []Action, r conn.Reply) (sends []Action) {
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

func doneReply() conn.Reply {
	return conn.Reply{Result: conn.ResultDone, Data: []byte("x"), Signature: "m"}
}

// TestRefusedConnectionsAreRetriedWithBackoff: guards against failing requests after a
// power loss. The servers then still count the connections of the nodes' previous processes,
// and so they reset new ones. There is no budget for retries yet. After the first reset it is
// unknown whether the request ran. From then on, the request is sent only over a connection
// that the server is known to have accepted.
func TestRefusedConnectionsAreRetriedWithBackoff(t *testing.T) {
	p := forwardPlan(1, PlanOptions{Deadline: time.Second, Timeout: time.Second, MaxAttempts: 2, RefusedBackoff: 25 * ms})
	p.Retry = func(int) bool { return false }
	now := time.Duration(0)
	acts := p.Start(now)
	require.False(t, acts[0].Careful)
	acts = replyToSends(p, now, acts, conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonRefused})
	for round := range maxRetryRounds {
		require.Empty(t, acts, "no retry before the backoff has passed")
		require.False(t, p.Finished())
		require.Equal(t, now+25*ms<<round, p.Next())
		now = p.Next()
		acts = p.Tick(now)
		for range 3 {
			require.Len(t, acts, 1)
			require.True(t, acts[0].Careful)
			if round == maxRetryRounds-1 {
				break
			}
			acts = replyToSends(p, now, acts, conn.Reply{Result: conn.ResultNotRun, Reason: tier.ReasonLost})
		}
	}
	replyToSends(p, now, acts, doneReply())
	require.True(t, p.Finished())
	require.True(t, p.Covered())
}

// TestRetryAfterResetSpendsBudget: servers that reset requests which they have received:
// every retry spends from the budget, and MaxAttempts bounds them.
func TestRetryAfterResetSpendsBudget(t *testing.T) {
	p := forwardPlan(1, PlanOptions{Deadline: time.Second, Timeout: time.Second, MaxAttempts: 2, RefusedBackoff: 25 * ms})
	paid := 0
	p.Retry = func(int) bool { paid++; return true }
	refused := conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonRefused}
	acts := replyToSends(p, 0, p.Start(0), refused)
	require.Len(t, acts, 1)
	require.Equal(t, 1, paid)
	acts = replyToSends(p, 0, acts, refused)
	require.Empty(t, acts)
	require.True(t, p.Finished())
}

// TestMaxAttemptsCountsOnlyAttemptsThatMayHaveRun: an attempt that a server refused
// without running it does not count against MaxAttempts.
func TestMaxAttemptsCountsOnlyAttemptsThatMayHaveRun(t *testing.T) {
	p := forwardPlan(1, PlanOptions{Deadline: time.Second, Timeout: time.Second, MaxAttempts: 2})
	acts := replyToSends(p, 0, p.Start(0), conn.Reply{Result: conn.ResultNotRun, Reason: tier.ReasonShed})
	acts = replyToSends(p, 0, acts, conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonServerError})
	require.Len(t, acts, 1, "the first attempt did not run and does not count")
	acts = replyToSends(p, 0, acts, conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonServerError})
	require.Empty(t, acts)
	require.True(t, p.Finished())
}

// TestNonIdempotentRequestIsRetriedOnlyIfNotRun: a request that must not run twice is
// retried only after an attempt that certainly did not run.
func TestNonIdempotentRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply conn.Reply
		retry bool
	}{
		{"the server reports that it did not run", conn.Reply{Result: conn.ResultNotRun, Reason: tier.ReasonShed}, true},
		{"nothing listens at the address", conn.Reply{Result: conn.ResultNotRun, Reason: tier.ReasonLost}, true},
		{"the connection broke", conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonLost}, false},
		{"the connection was reset at once", conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonRefused}, false},
		{"the answer was malformed", conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonTruncated}, false},
		{"the server failed", conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonServerError}, false},
	} {
		p := forwardPlan(1, PlanOptions{Deadline: time.Second, Timeout: time.Second, MaxAttempts: 3, NonIdempotent: true, RefusedBackoff: 25 * ms})
		acts := replyToSends(p, 0, p.Start(0), c.reply)
		require.Equal(t, c.retry, len(acts) == 1, c.name)
		require.Equal(t, c.retry, !p.Finished(), c.name)
		require.Equal(t, !c.retry, p.Ran(), c.name)
	}
}

// TestPartialAnswerIsGivenBeforeTarget: one of ten shards does not answer: the query must
// not wait for it once MinShards have answered and PartialFrom has passed.
func TestPartialAnswerIsGivenBeforeTarget(t *testing.T) {
	p := forwardPlan(10, PlanOptions{Deadline: time.Second, Timeout: time.Second, MaxAttempts: 1, MinShards: 9, PartialFrom: 170 * ms})
	acts := p.Start(0)
	replyToSends(p, 30*ms, acts[:8], doneReply())
	require.False(t, p.Finished())
	p.Tick(170 * ms)
	require.False(t, p.Finished(), "eight shards are too few, and a late answer is better than none")
	replyToSends(p, 190*ms, acts[8:9], doneReply())
	require.True(t, p.Finished(), "nine shards suffice once PartialFrom has passed")
	signatures, data, missing := p.CoveredParts()
	require.Len(t, signatures, 9)
	require.Len(t, data, 9)
	require.Equal(t, 1, missing)
}

// TestRouteWithoutTargetUsesTimeout: a route without a target waits for stragglers until
// its timeout, less the time to return the answer.
func TestRouteWithoutTargetUsesTimeout(t *testing.T) {
	f := &forwarding{route: &vers.Route{Gather: []tier.Service{"a", "b"}, Timeout: 800 * ms, Idempotent: true}, in: &Inbound{}}
	f.setDeadlines(0)
	require.Equal(t, 800*ms, f.target)
	require.Equal(t, 700*ms, f.planOptions().PartialFrom)
	f.in.TimeLeft = 400 * ms
	f.setDeadlines(0)
	require.Equal(t, 400*ms, f.target)
	f.route.Target = 200 * ms
	f.in.TimeLeft = 0
	f.setDeadlines(0)
	require.Equal(t, 200*ms, f.target)
}

// TestTooManyMissingShardsEndARequestAtOnce checks that a request that can no longer
// succeed does not wait for its deadline.
func TestTooManyMissingShardsEndARequestAtOnce(t *testing.T) {
	p := forwardPlan(10, PlanOptions{Deadline: time.Second, Timeout: time.Second, MaxAttempts: 1, MinShards: 9})
	p.Retry = func(int) bool { return false }
	acts := p.Start(0)
	replyToSends(p, 5*ms, acts[:1], conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonLost})
	require.False(t, p.Finished())
	replyToSends(p, 6*ms, acts[1:2], conn.Reply{Result: conn.ResultFailed, Reason: tier.ReasonLost})
	require.True(t, p.Finished())
	require.False(t, p.Covered())
}

// TestRequestWithOpenPartsMayHaveRun ends a request because servers of too many shards refused it while
// others have not answered: those may run it, so it must not be called not run. Once all have refused,
// it may.
func TestRequestWithOpenPartsMayHaveRun(t *testing.T) {
	refused := conn.Reply{Result: conn.ResultNotRun, Reason: tier.ReasonShed}
	for _, c := range []struct {
		name    string
		refused int
		ran     bool
	}{{"others are open", 2, true}, {"all have refused", 3, false}} {
		p := forwardPlan(3, PlanOptions{Deadline: time.Second, Timeout: time.Second, MaxAttempts: 1, MinShards: 2})
		p.Retry = func(int) bool { return false }
		acts := p.Start(0)
		if !c.ran {
			p.Options.MinShards = 0
		}
		replyToSends(p, 5*ms, acts[:c.refused], refused)
		require.True(t, p.Finished(), c.name)
		require.False(t, p.Covered(), c.name)
		require.Equal(t, c.ran, p.Ran(), c.name)
		require.Equal(t, c.ran, p.Answer().Outcome != tier.NotRun, c.name)
	}
}

// TestShardThatShedsIsNotHedged checks that no second request is sent to servers that are
// full.
func TestShardThatShedsIsNotHedged(t *testing.T) {
	p := forwardPlan(2, PlanOptions{Deadline: time.Second, Timeout: time.Second, HedgeDelay: 50 * ms, MaxAttempts: 2})
	acts := p.Start(0)
	replyToSends(p, 1*ms, acts[:1], conn.Reply{Result: conn.ResultNotRun, Reason: tier.ReasonShed})
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
