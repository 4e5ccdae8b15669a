package stats

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// MaxTenants is the number of tenants with metrics of their own, those with the most requests. A histogram takes 25 kB.
	MaxTenants = 32
	// OtherTenants is the label of all other tenants. The name of a tenant contains no space.
	OtherTenants tier.Tenant = "other tenants"

	// trackedTenants is the number of tenants whose requests are counted to find the busiest ones.
	trackedTenants = 4 * MaxTenants
	// tenantPeriod is how often tenants get or lose metrics of their own.
	tenantPeriod = time.Minute
	// tenantLead is how many times as many requests a tenant needs to take the place of another one, so that tenants with about
	// the same load don't take turns.
	tenantLead = 2
)

// Names of the metrics by tenant.
const (
	kindTenant        = "tenant"
	countTenant       = "tenant_requests"
	countTenantFailed = "tenant_requests_failed"
)

// TenantRequest is a request of a tenant with its outcome.
type TenantRequest struct {
	Tenant tier.Tenant
	// Result is one word for the outcome, and Reason its cause if the request was refused or failed.
	Result string
	Reason tier.Reason
	// Took is the time until the answer; 0 if the request was refused and no latency is to be recorded.
	Took time.Duration
}

// Tenant records a request under the name of its tenant, or as one of the other tenants' if others have more requests.
func (r *Registry) Tenant(now time.Duration, q TenantRequest) {
	t := &r.tenants
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.reselect(now) {
		r.forgetTenant(n)
	}
	label := OtherTenants
	if t.record(q.Tenant) {
		label = q.Tenant
	}
	if q.Took > 0 {
		r.Latency(kindTenant, string(label), q.Took)
	}
	r.Count(countTenant, string(label)+"/"+q.Result)
	if q.Reason != tier.ReasonNone {
		r.Count(countTenantFailed, string(label)+"/"+string(q.Reason))
	}
}

// forgetTenant removes the metrics of a tenant.
func (r *Registry) forgetTenant(n tier.Tenant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.histograms, kindTenant+"\x00"+string(n))
	var gone []string
	r.counters.Each(func(key string, _ any) {
		name, label := splitKey(key)
		end := strings.LastIndexByte(label, '/')
		if (name == countTenant || name == countTenantFailed) && end >= 0 && label[:end] == string(n) {
			gone = append(gone, key)
		}
	})
	for _, key := range gone {
		r.counters.Unregister(key)
		r.counterCount--
	}
}

// busiest finds the tenants with the most requests. It counts the requests of trackedTenants tenants; a further one takes the
// place and the count of the least busy of them, of which only its own requests count for it.
type busiest struct {
	mu        sync.Mutex
	tallies   map[tier.Tenant]*tally
	named     int
	reviewDue time.Duration
}

type tally struct {
	// requests halves in every period; inherited is the part that other tenants sent.
	requests, inherited float64
	named               bool
}

func (t *tally) own() float64 { return t.requests - t.inherited }

// record counts a request and reports whether the tenant has metrics of its own.
func (b *busiest) record(n tier.Tenant) bool {
	t := b.tallies[n]
	if t == nil {
		t = b.add(n)
	}
	t.requests++
	return t.named
}

func (b *busiest) add(n tier.Tenant) *tally {
	t := &tally{}
	if b.tallies == nil {
		b.tallies = map[tier.Tenant]*tally{}
	}
	if len(b.tallies) >= trackedTenants {
		least := tier.Tenant("")
		for name, x := range b.tallies {
			if !x.named && (least == "" || x.requests < b.tallies[least].requests) {
				least = name
			}
		}
		t.requests = b.tallies[least].requests
		t.inherited = t.requests
		delete(b.tallies, least)
	}
	if b.named < MaxTenants {
		t.named = true
		b.named++
	}
	b.tallies[n] = t
	return t
}

// reselect gives the metrics of tenants with few requests to busier ones, once in a period, and returns the tenants that lost
// theirs.
func (b *busiest) reselect(now time.Duration) (lost []tier.Tenant) {
	if now < b.reviewDue {
		return nil
	}
	b.reviewDue = now + tenantPeriod
	var named, others []tier.Tenant
	for n, t := range b.tallies {
		if t.named {
			named = append(named, n)
		} else {
			others = append(others, n)
		}
	}
	byLoad := func(x, y tier.Tenant) int { return cmp.Compare(b.tallies[x].own(), b.tallies[y].own()) }
	slices.SortFunc(named, byLoad)
	slices.SortFunc(others, byLoad)
	slices.Reverse(others)
	for i := range min(len(named), len(others)) {
		less, more := b.tallies[named[i]], b.tallies[others[i]]
		if more.own() <= tenantLead*less.own() {
			break
		}
		less.named, more.named = false, true
		lost = append(lost, named[i])
	}
	for _, t := range b.tallies {
		t.requests /= 2
		t.inherited /= 2
	}
	return lost
}
