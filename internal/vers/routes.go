package vers

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// RoutesVersion is the version of a routing table. Operators choose it; it
// increases, but not always by 1.
type RoutesVersion uint64

// Part is one service of a split and its weight.
type Part struct {
	Service tier.Service
	Weight  float64
}

// Route defines the destination of requests with a given host and path prefix.
// Exactly one of Service, Split and Gather is set.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent marks requests that may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Target is the wanted response time; 0 means unknown.
	Target time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of servers to which a request is sent, per shard; 0 means 1.
	Attempts int
	// Service receives all requests.
	Service tier.Service
	// Split distributes requests over several services by weight.
	Split []Part
	// Gather sends each request to one server of every service.
	Gather []tier.Service
	// Top is the number of records in an answer merged from the services of Gather.
	Top int
	// MinShare is the minimum share of the Gather services that must answer; with fewer, the request fails.
	MinShare float64
	// Public lets requests through without a key where the table has tenants.
	Public bool
}

// Objective returns the wanted response time: the target, or the timeout if no
// target is known.
func (r *Route) Objective() time.Duration {
	if r.Target > 0 {
		return r.Target
	}
	return r.Timeout
}

// MaxAttempts returns the maximum number of servers to which a request is sent, per shard.
func (r *Route) MaxAttempts() int { return max(1, r.Attempts) }

// Services returns all services that the route refers to.
func (r *Route) Services() []tier.Service {
	if r.Service != "" {
		return []tier.Service{r.Service}
	}
	if len(r.Gather) > 0 {
		return r.Gather
	}
	out := make([]tier.Service, 0, len(r.Split))
	for _, p := range r.Split {
		out = append(out, p.Service)
	}
	return out
}

// Backend is the declaration of a service in a routing table.
type Backend struct {
	Name tier.Service
	// Health is the path of the servers' health endpoint.
	Health string
	// Conns is the maximum number of connections to one server from all nodes together; 0 means unlimited.
	Conns int
	// ColdRate is the number of requests per second that a cold server of the service tolerates from all nodes together; 0 means
	// that it needs no care.
	ColdRate float64
}

// CallerLimits limits the requests of callers; 0 means the default of the settings.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Routes is one version of the complete routing table.
type Routes struct {
	Version  RoutesVersion
	Routes   []Route
	Backends []Backend
	Limits   CallerLimits
	// Tenants are the callers' organizations. Unless it is nil, requests on routes that are not public need a key.
	Tenants []Tenant

	byHost   map[string][]*Route
	backends map[tier.Service]*Backend
	tenants  tenantIndex
}

// Check validates the table and returns the first error found. A valid table is
// indexed for Match and Backend.
func (t *Routes) Check() error {
	if err := t.tenants.build(t.Tenants); err != nil {
		return err
	}
	t.backends = make(map[tier.Service]*Backend, len(t.Backends))
	for i := range t.Backends {
		b := &t.Backends[i]
		if b.Name == "" {
			return errors.New("a service has no name")
		}
		if t.backends[b.Name] != nil {
			return errors.Errorf("service %q stands twice", b.Name)
		}
		if !validRate(b.ColdRate) {
			return errors.Errorf("service %q: the rate of cold servers is not a number of 0 or more", b.Name)
		}
		t.backends[b.Name] = b
	}
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for host, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
		if a, b, ok := findDuplicatePrefix(list); ok {
			return errors.Errorf("routes %q and %q have the same prefix of host %q", a.Name, b.Name, host)
		}
	}
	return nil
}

// findDuplicatePrefix returns two routes of one host that have the same prefix.
func findDuplicatePrefix(list []*Route) (a, b *Route, found bool) {
	byPrefix := map[string]*Route{}
	for _, r := range list {
		if o := byPrefix[r.Prefix]; o != nil {
			return o, r, true
		}
		byPrefix[r.Prefix] = r
	}
	return nil, nil, false
}

func (t *Routes) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("the timeout is not positive")
	case r.Target < 0 || r.Attempts < 0 || r.Priority < 0 || r.Top < 0:
		return errors.New("a figure is negative")
	case r.MinShare < 0 || r.MinShare > 1:
		return errors.New("the least share is not between 0 and 1")
	}
	if err := checkDestination(r); err != nil {
		return err
	}
	for _, s := range r.Services() {
		if t.backends[s] == nil {
			return errors.Errorf("unknown service %q", s)
		}
	}
	return nil
}

// checkDestination checks that exactly one kind of destination is set, and its services and weights.
func checkDestination(r *Route) error {
	destinations := 0
	for _, given := range []bool{r.Service != "", len(r.Split) > 0, len(r.Gather) > 0} {
		if given {
			destinations++
		}
	}
	if destinations != 1 {
		return errors.New("one of service, split and gather is required")
	}
	if len(r.Gather) > 0 && !r.Idempotent {
		return errors.New("a gathered request must be idempotent")
	}
	seen := map[tier.Service]bool{}
	for _, s := range r.Services() {
		if seen[s] {
			return errors.Errorf("service %q stands twice", s)
		}
		seen[s] = true
	}
	if len(r.Split) == 0 {
		return nil
	}
	sum := 0.0
	for _, p := range r.Split {
		if !(p.Weight >= 0) {
			return errors.New("a weight is negative")
		}
		sum += p.Weight
	}
	if sum <= 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}

// Match returns the route of a request: of the host's routes the one with the
// longest matching prefix, or nil if none matches.
func (t *Routes) Match(host, path string) *Route {
	for _, r := range t.byHost[Hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Backend returns the declaration of a service, or nil if there is none.
func (t *Routes) Backend(s tier.Service) *Backend { return t.backends[s] }

// Hostname returns a host in the form used for comparison: lower case, without a port.
func Hostname(host string) string {
	if strings.Contains(host, ":") {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}
