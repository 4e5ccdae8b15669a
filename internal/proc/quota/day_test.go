package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// calmDay replays 79 tenants by a Zipf law of exponent 1.2, 120 requests a second in all, over 78 hosts in three zones.
type calmDay struct {
	*world
	offered, refused map[tier.Tenant]int
	limits           map[tier.Tenant][2]float64
	order            []tier.Tenant
	worst            time.Duration
}

func newCalmDay(seed uint64, hosts, voters int, greedy float64) *calmDay {
	d := &calmDay{world: newWorld(DefaultLimits(), seed), offered: map[tier.Tenant]int{}, refused: map[tier.Tenant]int{}, limits: map[tier.Tenant][2]float64{}}
	d.limit = func(_ *simVoter, t tier.Tenant) (float64, float64) { return d.limits[t][0], d.limits[t][1] }
	d.latency = func(a, b tier.Zone) time.Duration {
		if a == b {
			return 100 * time.Microsecond
		}
		return 500*time.Microsecond + time.Duration(d.rand.IntN(400))*time.Microsecond
	}
	zone := func(i int) tier.Zone { return tier.Zone(fmt.Sprint("z", i%3)) }
	for i := range voters {
		(*d.members)[tier.NodeID(fmt.Sprint("v", i))] = true
	}
	for i := range voters {
		d.addVoter(zone(i), true, true)
	}
	for i := range hosts {
		d.addHost(zone(i))
	}
	sum := 0.0
	for k := range 79 {
		sum += math.Pow(float64(k+1), -1.2)
	}
	for k := range 79 {
		t := tier.Tenant(fmt.Sprint("t", k))
		mean := 120 * math.Pow(float64(k+1), -1.2) / sum
		d.order = append(d.order, t)
		rate := 1.6 * mean
		d.limits[t] = [2]float64{rate, max(1, math.Ceil(rate))}
		if k == 0 && greedy > 0 {
			mean = greedy * rate
		}
		d.arrive(t, mean)
	}
	return d
}

func (d *calmDay) arrive(t tier.Tenant, mean float64) {
	d.after(time.Duration(d.rand.ExpFloat64()/mean*float64(time.Second)), func() {
		began := d.now
		d.offered[t]++
		d.request(d.hosts[d.rand.IntN(len(d.hosts))], t, func(o Outcome) {
			d.worst = max(d.worst, d.now-began)
			if !o.Granted {
				d.refused[t]++
			}
		})
		d.arrive(t, mean)
	})
}

// retireFirst removes the first voter from the group; the others learn of it.
func (d *calmDay) retireFirst() {
	next := membership{}
	for id := range *d.members {
		if id != "v0" {
			next[id] = true
		}
	}
	d.members = &next
	for id := range next {
		d.learn(d.voters[id], &next)
	}
}

// TestCalmDay guards against refusals of tenants that stay within their limits: the requests of each are Poisson processes of
// 1/1.6 of its limit.
func TestCalmDay(t *testing.T) {
	for _, voters := range []int{3, 5, 6, 9} {
		d := newCalmDay(1, 78, voters, 0)
		d.runUntil(30 * time.Minute)
		offered, refused, worst := 0, 0, 0.0
		for _, x := range d.order {
			offered += d.offered[x]
			refused += d.refused[x]
			share := float64(d.refused[x]) / float64(d.offered[x])
			worst = max(worst, share)
			require.LessOrEqual(t, share, 0.01, "tenant %s of %d voters: %d of %d", x, voters, d.refused[x], d.offered[x])
		}
		t.Logf("%d voters: %d of %d refused, worst tenant %.4f, %.2f calls a request, longest decision %s", voters, refused, offered, worst, float64(d.calls)/float64(offered), d.worst)
		require.Less(t, float64(d.calls)/float64(offered), 1.5)
	}
}

// TestBusyDays guards against refusals of tenants within their limits, and against calls that grow with the load, while one
// tenant sends far more than its limit, while a voter is frozen, and on a large fleet.
func TestBusyDays(t *testing.T) {
	for _, c := range []struct {
		name   string
		hosts  int
		greedy float64
		frozen bool
		calls  float64
	}{
		{"calm, 1,200 hosts", 1200, 0, false, 1.5},
		{"largest tenant at 9 times its limit", 78, 9, false, 2},
		// Each host has few requests of the tenant, and learns from each that the voters are empty.
		{"largest tenant at 9 times its limit, 1,200 hosts", 1200, 9, false, 5},
		{"a voter freezes and is retired", 78, 0, true, 2},
	} {
		d := newCalmDay(1, c.hosts, 6, c.greedy)
		if c.frozen {
			d.after(10*time.Second, func() { d.frozen["v0"] = time.Hour })
			d.after(14*time.Second, d.retireFirst)
		}
		const length = 5 * time.Minute
		d.runUntil(length)
		offered, refused, worst := 0, 0, 0.0
		for i, x := range d.order {
			offered += d.offered[x]
			if c.greedy > 0 && i == 0 {
				continue
			}
			refused += d.refused[x]
			worst = max(worst, float64(d.refused[x])/float64(d.offered[x]))
		}
		greedy := d.order[0]
		t.Logf("%s: %d refused, worst share %.4f; largest tenant %d of %d refused; %.0f requests, %.0f calls a second, longest decision %s",
			c.name, refused, worst, d.refused[greedy], d.offered[greedy], float64(offered)/length.Seconds(), float64(d.calls)/length.Seconds(), d.worst)
		require.LessOrEqual(t, worst, 0.02, "%s: five minutes have 60 requests of the smallest tenant", c.name)
		require.Less(t, float64(d.calls), c.calls*float64(offered), c.name)
		require.LessOrEqual(t, d.worst, 60*time.Millisecond, c.name)
	}
}
