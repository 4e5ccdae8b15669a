package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const ms = time.Millisecond

func newPool(voters int) *Pool {
	p := &Pool{Limits: DefaultLimits(), Self: "h", Zone: "z0", Rand: rand.New(rand.NewPCG(1, 2))}
	p.Start()
	var list []Voter
	for i := range voters {
		list = append(list, Voter{tier.NodeID(fmt.Sprint("v", i)), tier.Zone(fmt.Sprint("z", i%2))})
	}
	p.SetVoters(list)
	return p
}

// TestSilentVoters guards against requests that wait long for voters that are frozen, cut off or slow: every voter but one does
// not answer, and requests follow each other.
func TestSilentVoters(t *testing.T) {
	w := newWorld(DefaultLimits(), 1)
	for i := range 6 {
		(*w.members)[tier.NodeID(fmt.Sprint("v", i))] = true
	}
	for i := range 6 {
		w.addVoter(tier.Zone(fmt.Sprint("z", i%3)), true, true)
	}
	w.limit = func(*simVoter, tier.Tenant) (float64, float64) { return 100, 100 }
	h := w.addHost("z0")
	for i := range 2 {
		w.frozen[fmt.Sprint("v", i)] = time.Hour
	}
	waits := map[time.Duration]int{}
	for range 50 {
		began := w.now
		w.request(h, "a", func(o Outcome) {
			require.True(t, o.Granted)
			waits[(w.now-began).Truncate(20*ms)]++
		})
		w.runUntil(w.now + 100*ms)
	}
	require.LessOrEqual(t, waits[20*ms]+waits[40*ms], 4, "%v: each silent voter is found out once, and avoided", waits)
	require.Equal(t, 50, waits[0]+waits[20*ms]+waits[40*ms], "%v", waits)
}

// TestRefusals lists what voters answer and what callers are told.
func TestRefusals(t *testing.T) {
	empty := Reply{WaitMs: 700}
	for _, c := range []struct {
		name    string
		replies []Reply
		silent  int
		want    Outcome
	}{
		{"all empty", []Reply{{WaitMs: 300}, empty, empty}, 0, Outcome{Known: true, RetryAfter: 300 * ms}},
		{"a wait too short for callers", []Reply{{WaitMs: 1}, empty, empty}, 0, Outcome{Known: true, RetryAfter: minRetryAfter}},
		{"all absent", []Reply{{Absent: true}, {Absent: true}, {Absent: true, NoVoter: true}}, 0, Outcome{RetryAfter: unansweredRetryAfter}},
		{"none answers", nil, 3, Outcome{RetryAfter: unansweredRetryAfter}},
		{"one answers", []Reply{empty}, 2, Outcome{Known: true, RetryAfter: 640 * ms}},
	} {
		p := newPool(3)
		now := time.Duration(0)
		_, eff := p.Take(now, "a", 60*ms)
		calls := 0
		for len(eff.Results) == 0 {
			if len(eff.Calls) > 0 && calls < len(c.replies) {
				calls++
				eff = p.Reply(now, eff.Calls[0].ID, c.replies[calls-1])
				continue
			}
			now = p.Wake("a")
			eff = p.Tick(now, "a")
		}
		require.Equal(t, c.want, eff.Results[0].Outcome, c.name)
		require.LessOrEqual(t, now, 60*ms, c.name)
	}
}

// TestExhaustedTenantCostsNoCalls guards against calls for each request of a tenant far over its limit.
func TestExhaustedTenantCostsNoCalls(t *testing.T) {
	p := newPool(3)
	_, eff := p.Take(0, "a", 60*ms)
	for len(eff.Calls) > 0 {
		eff = p.Reply(ms, eff.Calls[0].ID, Reply{WaitMs: 5000})
	}
	for i := range 100 {
		_, eff = p.Take(time.Duration(2+i)*ms, "a", time.Second)
		require.Empty(t, eff.Calls)
		require.True(t, eff.Results[0].Outcome.Known)
	}
	_, eff = p.Take(1002*ms, "a", 1060*ms)
	require.Len(t, eff.Calls, 1, "voters are asked again after a second: tokens may have been returned")
}

// TestRequestsShareCalls guards against a call for each of many requests that arrive at once.
func TestRequestsShareCalls(t *testing.T) {
	p := newPool(3)
	_, eff := p.Take(0, "a", 60*ms)
	first := eff.Calls[0]
	for i := range 9 {
		_, eff = p.Take(time.Duration(i)*100*time.Microsecond, "a", 60*ms)
		require.Empty(t, eff.Calls)
	}
	eff = p.Reply(ms, first.ID, Reply{Granted: 1, Grant: 1, WaitMs: 10})
	require.Len(t, eff.Results, 1)
	require.Equal(t, Token{first.Voter, 1, p.Limits.Life()}, eff.Results[0].Outcome.Token)
	require.Len(t, eff.Calls, 1)
	require.GreaterOrEqual(t, eff.Calls[0].Request.Wanted, 9)
	eff = p.Reply(2*ms, eff.Calls[0].ID, Reply{Granted: eff.Calls[0].Request.Wanted, Grant: 2})
	require.Len(t, eff.Results, 9)
	require.Positive(t, p.Held(), "the demand is expected to go on")
}

// TestTokenKeepsItsExpiry guards against tokens that refused requests make valid for longer.
func TestTokenKeepsItsExpiry(t *testing.T) {
	p := newPool(1)
	_, eff := p.Take(0, "a", 60*ms)
	eff = p.Reply(ms, eff.Calls[0].ID, Reply{Granted: 1, Grant: 1})
	token := eff.Results[0].Outcome.Token
	p.Give(200*ms, "a", token)
	require.Equal(t, 1, p.Held())
	_, eff = p.Take(210*ms, "a", 270*ms)
	require.Equal(t, token, eff.Results[0].Outcome.Token)
	p.Give(220*ms, "a", token)
	_, eff = p.Take(230*ms, "b", 290*ms)
	require.Equal(t, []Returned{{"a", 1, 1}}, eff.Calls[0].Request.Returned, "not needed while it is valid")
	require.Zero(t, p.Held())
	p.Give(p.Limits.Life(), "a", token)
	require.Zero(t, p.Held())
}
