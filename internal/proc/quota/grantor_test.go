package quota

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShares: the shares of all voters stay within the tolerance, and each has whole tokens for small tenants.
func TestShares(t *testing.T) {
	for _, l := range []Limits{DefaultLimits(), {5 * time.Second, 0.1, 9}, {time.Second, 0.04, 20}, {5 * time.Second, 0, 20}} {
		for _, rate := range []float64{0.3, 10, 75, 1e9} {
			for _, burst := range []float64{0, 1, 17, 300, math.MaxFloat64} {
				for n := 1; n <= 9; n++ {
					perSecond, depth := l.Share(rate, burst, n)
					w := l.Window.Seconds()
					all := float64(n) * (depth + perSecond*(w+l.Life().Seconds()))
					bound := (rate*w+burst)*(1+l.Overage) + l.Tolerance
					if depth > 0 {
						require.LessOrEqual(t, all, bound*(1+1e-9), "%v: rate %g, burst %g, %d voters", l, rate, burst, n)
					}
					if rate <= 75 && l.Overage >= 0.1 {
						require.GreaterOrEqual(t, depth, 1.0, "%v: rate %g, burst %g, %d voters", l, rate, burst, n)
					}
				}
			}
		}
	}
}

func TestSaneLimits(t *testing.T) {
	d := DefaultLimits()
	for _, c := range []struct{ set, want Limits }{
		{Limits{}, d},
		{Limits{time.Second, 0, 0}, Limits{time.Second, 0, 0}},
		{Limits{-time.Second, 0.2, 30}, d},
		{Limits{time.Second, math.NaN(), math.Inf(1)}, Limits{time.Second, d.Overage, d.Tolerance}},
		{Limits{time.Second, -1, -1}, Limits{time.Second, d.Overage, d.Tolerance}},
	} {
		require.Equal(t, c.want, c.set.Sane())
	}
}

// TestReturnedTokensAreNotRenewed guards against hosts that return tokens and get them again, and so collect more than one
// bucket.
func TestReturnedTokensAreNotRenewed(t *testing.T) {
	l := DefaultLimits()
	g := &Grantor{Limits: l}
	g.Start(0, true)
	_, depth := l.Share(4, 20, 1)
	var held []uint64
	take := func(now time.Duration) {
		if r := g.Grant(now, "a", 4, 20, 1, 1); r.Granted > 0 {
			held = append(held, r.Grant)
		}
	}
	for range int(depth) {
		take(0)
	}
	require.Len(t, held, int(depth))
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		for _, grant := range held {
			g.Return(now, []Returned{{"a", grant, 1}})
			held = held[1:]
			take(now)
		}
		take(now)
		require.LessOrEqual(t, float64(len(held)), depth+4*l.Life().Seconds(), "at %s", now)
	}
}

// TestWaitsAreInTurn guards against all hosts asking again at the same moment.
func TestWaitsAreInTurn(t *testing.T) {
	// With this tolerance the buckets of ten voters refill at a tenth of the tenant's rate each.
	g := &Grantor{Limits: Limits{Window: 5 * time.Second, Overage: 0.1, Tolerance: 10}}
	g.Start(0, false)
	for i := range 5 {
		r := g.Grant(time.Second, "a", 1, 0, 10, 100)
		require.Equal(t, int64(10*(i+1)-1), int64(math.Round(r.WaitMs.Duration().Seconds())))
	}
	require.Equal(t, maxWait, g.Grant(time.Second, "b", 0.001, 0, 10, 1).WaitMs.Duration())
}

// TestNewVoterStartsEmpty guards against the burst of a new voter beside those that the others granted with larger shares: they
// learn of it a moment later.
func TestNewVoterStartsEmpty(t *testing.T) {
	l, granted := DefaultLimits(), 0
	for range 5 {
		old := &Grantor{Limits: l}
		old.Start(0, true)
		granted += old.Grant(400*time.Millisecond, "a", 0.3, 60, 5, 1000).Granted
	}
	next := &Grantor{Limits: l}
	next.Start(0, false)
	next.Restart(Handover)
	granted += next.Grant(Handover+time.Millisecond, "a", 0.3, 60, 6, 1000).Granted
	require.LessOrEqual(t, granted, 60+20)
	require.Positive(t, next.Grant(Handover+l.Window+l.Life(), "a", 0.3, 60, 6, 1000).Granted, "full once the others' burst is over")
}

// TestStanding lists when a host may grant tokens.
func TestStanding(t *testing.T) {
	const s = time.Second
	observe := func(x *Standing, from, to time.Duration) {
		for now := from; now <= to; now += 100 * time.Millisecond {
			x.Observe(now, true)
		}
	}
	fresh := func(settled bool) *Standing {
		x := &Standing{}
		x.Resume(0)
		if settled {
			x.Bootstrapped()
		}
		x.Members(0, true, 3, settled)
		return x
	}
	x := fresh(true)
	require.Zero(t, x.Granting(0), "no contact yet")
	observe(x, 0, s)
	require.Equal(t, 3, x.Granting(s))
	require.True(t, x.Stable(s))
	require.Zero(t, x.Granting(s+ContactWindow+1), "contact lost")
	x.Members(s, true, 4, false)
	require.Equal(t, 4, x.Granting(s))
	x.Members(s, true, 3, false)
	require.Equal(t, 4, x.Granting(s+Handover/3), "the larger membership counts for a while")
	require.False(t, x.Stable(s+Handover/3))
	observe(x, s, s+Handover)
	require.Equal(t, 3, x.Granting(s+Handover))
	require.True(t, x.Stable(s+Handover))

	resumed := 20 * s
	x.Observe(resumed, true)
	require.Zero(t, x.Granting(resumed), "after a suspension, messages of a former leader do not count")
	observe(x, resumed, resumed+resumeDelay)
	require.Equal(t, 3, x.Granting(resumed+resumeDelay))
	x.Members(resumed, false, 2, false)
	require.Zero(t, x.Granting(resumed+resumeDelay), "not a voter any more")

	back := 40 * s
	for now := resumed + resumeDelay; now < back; now += s / 2 {
		x.Observe(now, false)
	}
	x.Members(back, true, 3, false)
	x.Settle(back)
	x.Observe(back, true)
	require.Zero(t, x.Granting(back), "contact was lost: the log may lack a removal")
	observe(x, back, back+resumeDelay)
	require.Equal(t, 3, x.Granting(back+resumeDelay))

	x = fresh(false)
	observe(x, 0, Handover)
	require.Zero(t, x.Granting(Handover-1), "a new voter waits")
	require.Equal(t, 3, x.Granting(Handover))
}
