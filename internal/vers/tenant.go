package vers

import (
	"math"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Tenant is an organization whose callers share keys, a quota and a priority.
type Tenant struct {
	Name tier.Tenant
	// Keys identify the tenant's callers. They are secret.
	Keys []string
	// Rate is the quota in requests per second over all nodes, Burst the number of requests beyond it that may come at once.
	// A rate of 0 means no limit.
	Rate  float64
	Burst float64
	// Priority replaces the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Rank returns the priority of the tenant's requests on a route. A nil tenant has the route's.
func (n *Tenant) Rank(r *Route) int {
	if n != nil && n.HasPriority {
		return n.Priority
	}
	return r.Priority
}

const (
	// Quotas are computed with floating-point numbers and times. A rate beyond maxRate is more than any fleet serves, and the wait
	// for the next request at minRate (11 days) fits a time.Duration.
	minRate = 1e-6
	maxRate = 1e9
)

// tenantIndex finds tenants by key and by name.
type tenantIndex struct {
	byKey  map[string]*Tenant
	byName map[tier.Tenant]*Tenant
	// limited is set if a tenant has a rate.
	limited bool
}

// build validates the tenants and indexes them. Errors name tenants by name and never contain a key.
func (x *tenantIndex) build(list []Tenant) error {
	x.limited = false
	x.byKey, x.byName = make(map[string]*Tenant, len(list)), make(map[tier.Tenant]*Tenant, len(list))
	for i := range list {
		n := &list[i]
		if err := x.add(n); err != nil {
			return errors.Wrapf(err, "tenant %q", n.Name)
		}
	}
	return nil
}

func (x *tenantIndex) add(n *Tenant) error {
	switch {
	case n.Name.Check() != nil:
		return n.Name.Check()
	case x.byName[n.Name] != nil:
		return errors.New("stands twice")
	case !validRate(n.Rate) || !validRate(n.Burst):
		return errors.New("rate and burst must be numbers of 0 or more")
	case n.Priority < 0:
		return errors.New("the priority is negative")
	}
	n.Burst = min(n.Burst, maxRate)
	if n.Rate > 0 {
		n.Rate = min(max(n.Rate, minRate), maxRate)
	}
	x.byName[n.Name] = n
	x.limited = x.limited || n.Rate > 0
	for _, key := range n.Keys {
		switch other := x.byKey[key]; {
		case key == "":
			return errors.New("a key is empty")
		case other != nil && other != n:
			return errors.Errorf("has a key in common with tenant %q", other.Name)
		}
		x.byKey[key] = n
	}
	return nil
}

func validRate(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

// Keyed reports whether requests need a key, except on public routes. A table that lists no tenant but has the list lets no
// caller in.
func (t *Routes) Keyed() bool { return t.Tenants != nil }

// Limited reports whether a tenant has a rate.
func (t *Routes) Limited() bool { return t.tenants.limited }

// TenantByKey returns the tenant that holds a key, or nil if there is none.
func (t *Routes) TenantByKey(key string) *Tenant { return t.tenants.byKey[key] }

// Tenant returns the tenant with a name, or nil if there is none.
func (t *Routes) Tenant(name tier.Tenant) *Tenant { return t.tenants.byName[name] }
