package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// coldFleet is a number of hosts in three zones that send to one server in the first zone.
type coldFleet struct {
	hosts  []spread.Host
	tables []*terms.Table
}

// newColdFleet makes hosts of which each knows all; those from down on count as down at the others.
func newColdFleet(random *rand.Rand, n, down int, tolerated float64, bound terms.ColdBound) *coldFleet {
	f := &coldFleet{}
	for i := range n {
		h := spread.Host{ID: tier.NodeID(fmt.Sprint("h", i)), Zone: tier.Zone(fmt.Sprint("z", i%3)), Active: i%5 == 0}
		if i >= down {
			h.State = spread.HostDown
		}
		f.hosts = append(f.hosts, h)
	}
	for i := range n {
		var tracker shareTracker
		shares := tracker.updateCold(f.hosts[i].ID, f.hosts)
		cold := shares.cold(&spread.Server{ID: "s", Zone: "z0"}, tolerated, bound)
		if cold.Since = time.Duration(random.IntN(100)) * time.Millisecond; random.IntN(10) == 0 {
			// It learned of it later than the others.
			cold.Since = time.Duration(random.IntN(int(10 * time.Second)))
		}
		table := &terms.Table{
			Share: func(tier.ServerID) float64 { return 1 }, Phase: func(tier.ServerID) float64 { return 0 },
			Born: func(tier.ServerID) int64 { return 1 },
			Cold: func(time.Duration, tier.ServerID) (terms.Cold, bool) { return cold, true },
		}
		table.Start()
		f.tables = append(f.tables, table)
	}
	return f
}

// TestColdServerGetsItsRateFromAllHosts guards against a cold server that is overrun by many hosts at once, also while they are
// partitioned, and against one that gets far less than it tolerates.
func TestColdServerGetsItsRateFromAllHosts(t *testing.T) {
	const step, runTime = 5 * time.Millisecond, 60 * time.Second
	bound := terms.ColdBound{Overage: defaultColdOverage, Tolerance: defaultColdTolerance}
	for _, hosts := range []int{1, 6, 78, 300} {
		for _, tolerated := range []float64{1, 4, 10, 40} {
			for _, c := range []struct {
				name string
				// wants reports whether a host has a request at a time.
				wants func(random *rand.Rand, host int, now time.Duration) bool
				least float64
			}{
				{"always", func(*rand.Rand, int, time.Duration) bool { return true }, 0.55},
				{"busy hosts", func(_ *rand.Rand, host int, _ time.Duration) bool { return host%5 == 0 }, 0.5},
				{"twice a second", func(r *rand.Rand, _ int, _ time.Duration) bool { return r.IntN(100) == 0 }, 0},
				{"all at once, now and then", func(_ *rand.Rand, _ int, now time.Duration) bool { return now%(700*time.Millisecond) == 0 }, 0},
			} {
				random := rand.New(rand.NewPCG(uint64(hosts), uint64(tolerated)))
				f := newColdFleet(random, hosts, hosts/2+1, tolerated, bound)
				var sent []time.Duration
				for now := time.Duration(0); now < runTime; now += step {
					for host, table := range f.tables {
						if !c.wants(random, host, now) {
							continue
						}
						if ok, _ := table.Allowed(now, "s"); ok {
							table.Take(now, "s")
							sent = append(sent, now)
						}
					}
				}
				most := tolerated*bound.Overage + bound.Tolerance
				require.LessOrEqual(t, float64(mostInASecond(sent)), most, "%d hosts, rate %v, %s", hosts, tolerated, c.name)
				require.GreaterOrEqual(t, float64(len(sent))/runTime.Seconds(), c.least*tolerated, "%d hosts, rate %v, %s", hosts, tolerated, c.name)
			}
		}
	}
}

// TestColdSharesDuringAPartition guards against two halves of a fleet that each use the whole rate, also if callers move to hosts that
// were idle before.
func TestColdSharesDuringAPartition(t *testing.T) {
	var hosts []spread.Host
	for i := range 12 {
		hosts = append(hosts, spread.Host{ID: tier.NodeID(fmt.Sprint("h", i)), Zone: tier.Zone(fmt.Sprint("z", i%3)), Active: i < 4})
	}
	sum := 0.0
	for self := range hosts {
		var tracker shareTracker
		tracker.updateCold(hosts[self].ID, hosts)
		seen := slices.Clone(hosts)
		for i := range seen {
			if i%2 != self%2 {
				seen[i].State = spread.HostDown
			} else {
				seen[i].Active = true
			}
		}
		shares := tracker.updateCold(hosts[self].ID, seen)
		sum += shares.share("z1")
	}
	require.InDelta(t, 1, sum, 1e-9)
}

// mostInASecond returns the greatest number of times within a second.
func mostInASecond(sent []time.Duration) (most int) {
	first := 0
	for i := range sent {
		for sent[i]-sent[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdServersAreForgottenOnceWarm guards against a server that stays limited after it is warm, lost or restarted, and against
// limits on a service without a rate.
func TestColdServersAreForgottenOnceWarm(t *testing.T) {
	rec := func(rest tier.Millis, state spread.ServerState) []spread.Server {
		return []spread.Server{{ID: "s", RestMs: rest, State: state, Home: "h"}}
	}
	limited := func(*spread.Server) (terms.Cold, bool) { return terms.Cold{Own: 3}, true }
	for _, c := range []struct {
		name string
		next []spread.Server
		at   time.Duration
		cold bool
	}{
		{"still cold", nil, 5 * time.Second, true},
		{"over", nil, 5*time.Second + coldMargin, false},
		{"warm", rec(0, spread.ServerReady), time.Second, false},
		{"lost", rec(5000, spread.ServerLost), time.Second, false},
		{"cold again", rec(9000, spread.ServerReady), 9 * time.Second, true},
	} {
		var s coldServers
		require.Len(t, s.update(0, rec(5000, spread.ServerReady)), 1, c.name)
		s.update(time.Second, c.next)
		_, cold := s.get(c.at, "s", limited)
		require.Equal(t, c.cold, cold, c.name)
		s.expire(c.at)
		require.Equal(t, c.cold, s.count.Load() == 1, c.name)
	}
	var s coldServers
	s.suspect(0, rec(0, spread.ServerReady)[0], 4*time.Second)
	_, cold := s.get(3*time.Second, "s", limited)
	require.True(t, cold, "it died and may be back before its announcement")
	s.update(3*time.Second, rec(0, spread.ServerReady))
	_, cold = s.get(3*time.Second, "s", limited)
	require.False(t, cold, "its new announcement says that it is warm")
	s.update(0, rec(5000, spread.ServerReady))
	_, cold = s.get(0, "s", func(*spread.Server) (terms.Cold, bool) { return terms.Cold{}, false })
	require.False(t, cold, "its service has no rate for cold servers")
}
