package terms

import (
	"math"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// coldDeviations is the number of standard deviations by which the permits of all hosts may exceed their mean in a second:
	// hosts issue them independently of each other.
	coldDeviations = 3
	// coldSteps is the number of rates that ColdRate tries.
	coldSteps = 50
)

// HostGroup is a number of hosts with the same share of a server's rate.
type HostGroup struct {
	Hosts int
	Share float64
}

// ColdBound is the bound of the requests to a cold server in any second: the rate that it tolerates times Overage, plus
// Tolerance.
type ColdBound struct {
	Overage, Tolerance float64
}

// ColdRate returns the rate of all hosts together at which a cold server stays within the bound in any second: the rate that it
// tolerates, or less. The permits of a second, with those left from before it, are those of permitLife more than a second. Their
// sum over the hosts varies, as hosts that learned at another time that the server is cold do not issue theirs in turn.
func ColdRate(tolerated float64, b ColdBound, groups []HostGroup) Rate {
	limit := tolerated*b.Overage + b.Tolerance
	for i := range coldSteps {
		r := tolerated * float64(coldSteps-i) / coldSteps
		if mostPermits(r, groups) <= limit {
			return Rate(r)
		}
	}
	return Rate(tolerated / coldSteps)
}

// mostPermits returns the number of permits that hosts may use in a second at a rate, which is exceeded only if more hosts than
// coldDeviations allows happen to issue a permit in the same second. It is exact for few hosts.
func mostPermits(rate float64, groups []HostGroup) float64 {
	mean, variance, all := 0.0, 0.0, 0.0
	for _, g := range groups {
		x := rate * g.Share * (time.Second + permitLife).Seconds()
		fraction := x - math.Floor(x)
		n := float64(g.Hosts)
		mean += n * x
		variance += n * fraction * (1 - fraction)
		all += n * math.Ceil(x)
	}
	return min(all, mean+coldDeviations*math.Sqrt(variance))
}

// Cold is what a host may send to a cold server.
type Cold struct {
	// Own is this host's rate.
	Own Rate
	// Since is when this host learned that the server is cold; all hosts learn it at nearly the same time.
	Since time.Duration
	// Phase is the fraction of a permit that this host has at Since. Phases that are spread evenly over the hosts with the same
	// share make them issue their permits in turn.
	Phase float64
}

// coldPacer issues the permits of one warm-up.
type coldPacer struct {
	pacer
	since time.Duration
}

// allowedCold reports whether this host may send a request to a server now as far as its warming up is concerned, and if not,
// when it may.
func (t *Table) allowedCold(now time.Duration, id tier.ServerID) (next time.Duration) {
	if t.Cold == nil {
		return now
	}
	c, cold := t.Cold(now, id)
	if !cold {
		return now
	}
	p := t.cold[id]
	if p == nil || p.since != c.Since {
		p = &coldPacer{pacer{at: c.Since, issued: c.Phase}, c.Since}
		t.cold[id] = p
	}
	p.advance(now, c.Own)
	return p.next(now, c.Own)
}

// takeCold uses a permit for a request to a server if it is cold.
func (t *Table) takeCold(now time.Duration, id tier.ServerID) {
	p := t.cold[id]
	if p == nil || t.Cold == nil {
		return
	}
	if c, cold := t.Cold(now, id); cold && p.since == c.Since {
		p.used++
	}
}
