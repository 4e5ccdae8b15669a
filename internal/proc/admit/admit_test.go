package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

func newGate(rate float64) *Gate {
	g := &Gate{Rate: func(tier.Account) float64 { return rate }}
	g.Start()
	return g
}

// fill admits requests of an account until one is refused.
func fill(g *Gate, a tier.Account, rank int) int {
	for n := 0; ; n++ {
		if why, _ := g.Enter(0, a, "s", rank); why != tier.ReasonNone {
			return n
		}
	}
}

func TestClasses(t *testing.T) {
	g := newGate(0)
	bulk := fill(g, "a", 2)
	normal := fill(g, "a", 1)
	urgent := fill(g, "a", 0)
	require.Equal(t, firstLimit*bulkShare/100+1, bulk)
	require.Positive(t, normal, "normal requests are taken on where bulk ones no longer are")
	require.Positive(t, urgent, "urgent requests are taken on where normal ones no longer are")
}

func TestFairShares(t *testing.T) {
	g := newGate(0)
	a := fill(g, "a", 0)
	require.Equal(t, firstLimit, a, "one account alone may use everything")
	for range a / 2 {
		g.Leave(time.Second, "a", "s", time.Millisecond, 0, time.Second, false)
	}
	require.Positive(t, fill(g, "b", 0), "a second account gets a share")
	why, _ := g.Enter(0, "a", "s", 0)
	require.NotEqual(t, tier.ReasonNone, why)
}

func TestLimitFollowsTheQueues(t *testing.T) {
	g := newGate(0)
	fill(g, "a", 0)
	before := g.Limit("s")
	g.Leave(time.Second, "a", "s", time.Second, time.Second, time.Millisecond, false)
	require.Less(t, g.Limit("s"), before, "a long wait at an owner lowers the limit")
	after := g.Limit("s")
	g.Leave(time.Second+cutEvery/2, "a", "s", time.Second, time.Second, time.Millisecond, false)
	require.Equal(t, after, g.Limit("s"), "one burst of bad news lowers it once")
	for range 100 {
		g.Leave(2*time.Second, "a", "s", time.Millisecond, 0, time.Second, false)
		_, _ = g.Enter(2*time.Second, "a", "s", 0)
	}
	require.Greater(t, g.Limit("s"), after)
}

// TestFewRequestsDoNotLowerTheLimit is the fault that one slow answer under a
// light load brought the limit down to a few requests.
func TestFewRequestsDoNotLowerTheLimit(t *testing.T) {
	g := newGate(0)
	for i := range 50 {
		_, _ = g.Enter(0, "a", "s", 0)
		g.Leave(time.Duration(i)*time.Second, "a", "s", time.Second, time.Second, time.Millisecond, true)
	}
	require.Equal(t, float64(firstLimit), g.Limit("s"))
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	g := newGate(0)
	fill(g, "a", 0)
	_, first := g.Enter(0, "a", "s", 0)
	require.GreaterOrEqual(t, first, retryLeast)
	var last time.Duration
	for range 10000 {
		_, last = g.Enter(0, "a", "s", 0)
	}
	require.LessOrEqual(t, last, retryMost)
}

func TestAccountRate(t *testing.T) {
	g := newGate(10)
	for range 10 {
		why, _ := g.Enter(0, "a", "s", 0)
		require.Equal(t, tier.ReasonNone, why)
	}
	why, after := g.Enter(0, "a", "s", 0)
	require.Equal(t, tier.ReasonLimit, why)
	require.Equal(t, 100*time.Millisecond, after)
	why, _ = g.Enter(after, "a", "s", 0)
	require.Equal(t, tier.ReasonNone, why)
}
