package reqst

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// fakeSelection names the evacuated servers and the rates of the cold ones.
type fakeSelection struct {
	evacuated map[tier.ServerID]bool
	cold      map[tier.ServerID]terms.Rate
}

func (s *fakeSelection) Restricted() bool                { return len(s.evacuated)+len(s.cold) > 0 }
func (s *fakeSelection) Evacuated(id tier.ServerID) bool { return s.evacuated[id] }
func (s *fakeSelection) Cold(_ time.Duration, id tier.ServerID) (terms.Cold, bool) {
	r, ok := s.cold[id]
	return terms.Cold{Own: r, Since: time.Hour}, ok
}

// selectFrom makes 400 choices in 4 s among three servers, of which s0 is the cheapest, and counts them.
func selectFrom(t *testing.T, s *fakeSelection) (chosen map[tier.ServerID]int, f *forwarding) {
	clock := &fakeClock{now: time.Hour}
	d := &Forwarder{
		Clock: clock, Directory: &staticDirectory{}, Stats: stats.NewRegistry(), Board: &pace.Board{Zone: "z0"}, Share: func() float64 { return 1 }, Selection: s,
	}
	d.Start(t.Context())
	f = &forwarding{forwarder: d, route: &vers.Route{Name: "search"}, kind: pace.Timing{Base: time.Millisecond, Target: 80 * time.Millisecond}}
	list := []tier.Candidate{{Server: "s0", Zone: "z0"}, {Server: "s1", Zone: "z1"}, {Server: "s2", Zone: "z1"}}
	chosen = map[tier.ServerID]int{}
	for range 400 {
		clock.now += 10 * time.Millisecond
		if i := f.pickServer(clock.now, 0, list); i >= 0 {
			chosen[list[i].Server]++
		}
	}
	return chosen, f
}

// TestOpenRequestsKeepToEvacuations guards against hedges and retries to a zone that was evacuated after the request arrived: its
// list of servers is that of its arrival. Without another server, the shard fails as one without servers does.
func TestOpenRequestsKeepToEvacuations(t *testing.T) {
	chosen, _ := selectFrom(t, &fakeSelection{evacuated: map[tier.ServerID]bool{"s0": true}})
	require.Zero(t, chosen["s0"])
	require.Equal(t, 400, chosen["s1"]+chosen["s2"])
	chosen, f := selectFrom(t, &fakeSelection{evacuated: map[tier.ServerID]bool{"s0": true, "s1": true, "s2": true}})
	require.Empty(t, chosen)
	require.Zero(t, f.permitAt, "no permit will come")
}

// TestColdServersAreSpared guards against a cold server that gets more than its rate, none of the requests at all, or as many as a
// warm one, and against a shard of cold servers that is not served.
func TestColdServersAreSpared(t *testing.T) {
	chosen, _ := selectFrom(t, &fakeSelection{cold: map[tier.ServerID]terms.Rate{"s0": 10}})
	require.InDelta(t, 38, chosen["s0"], 4)
	require.Equal(t, 400, chosen["s0"]+chosen["s1"]+chosen["s2"])
	chosen, _ = selectFrom(t, &fakeSelection{cold: map[tier.ServerID]terms.Rate{"s0": 1e6}})
	require.InDelta(t, 400/coldInterval, chosen["s0"], 2, "warm servers are preferred, whatever a cold one tolerates")
	chosen, f := selectFrom(t, &fakeSelection{cold: map[tier.ServerID]terms.Rate{"s0": 10, "s1": 5, "s2": 5}})
	require.InDelta(t, 80, chosen["s0"]+chosen["s1"]+chosen["s2"], 6)
	require.NotZero(t, f.permitAt)
}
