package shed

import (
	"math"
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// demandHalfLife is the half-life of what a tenant has asked for: a few requests of a small tenant, and short against
	// the time in which tenants change their load.
	demandHalfLife = 2 * time.Second
	// leastFairShare is the least share of its requests that a tenant gets, as a fraction of the share of all: no tenant is
	// starved because its weight is small.
	leastFairShare = 0.5
	// minDemand is the demand below which a tenant is forgotten.
	minDemand = 0.01
)

// demand is what a tenant has asked for lately. A weight of 0 stands for the mean of the others.
type demand struct {
	weight float64
	// used is the weight after that rule.
	used  float64
	asked float64
	at    time.Duration
	// share is the share of the tenant's requests that is admitted.
	share float64
}

func (d *demand) current(now time.Duration) float64 {
	return d.asked * math.Exp2(-float64(now-d.at)/float64(demandHalfLife))
}

// fair divides what is admitted between tenants: by max-min fairness, a tenant that asks for less than its weighted share gets
// all of it, and the others share the rest by weight.
type fair struct {
	demands map[tier.Tenant]*demand
	// total is the share of all requests for which the shares were computed, at a time.
	total      float64
	computedAt time.Duration
}

// ask records a request of a tenant, and returns the share of the tenant's requests that is admitted if total is the share of all.
func (f *fair) ask(now time.Duration, t tier.Tenant, weight, total float64) float64 {
	if f.demands == nil {
		f.demands = map[tier.Tenant]*demand{}
	}
	d := f.demands[t]
	if d == nil {
		d = &demand{share: total}
		f.demands[t] = d
	}
	d.asked, d.at, d.weight = d.current(now)+1, now, weight
	if total != f.total || now-f.computedAt >= stepInterval {
		f.compute(now, total)
	}
	return d.share
}

// compute sets the shares so that the tenants together get total of what they ask for.
func (f *fair) compute(now time.Duration, total float64) {
	f.total, f.computedAt = total, now
	list := make([]*demand, 0, len(f.demands))
	asked := 0.0
	for t, d := range f.demands {
		v := d.current(now)
		if v < minDemand {
			delete(f.demands, t)
			continue
		}
		d.asked, d.at = v, now
		list = append(list, d)
		asked += v
	}
	weights := f.setWeights(list)
	sort.Slice(list, func(i, j int) bool { return list[i].asked*list[j].used < list[j].asked*list[i].used })
	left := total * asked
	for _, d := range list {
		granted := min(d.asked, left*d.used/weights)
		d.share = max(granted/d.asked, leastFairShare*total)
		left, weights = left-granted, weights-d.used
	}
}

// setWeights gives tenants without a weight the mean of the others, and returns the sum.
func (f *fair) setWeights(list []*demand) (sum float64) {
	known := 0
	for _, d := range list {
		if d.weight > 0 {
			sum, known = sum+d.weight, known+1
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	for _, d := range list {
		d.used = d.weight
		if d.weight <= 0 {
			d.used, sum = mean, sum+mean
		}
	}
	return sum
}
