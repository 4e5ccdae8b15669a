package vers

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// RoutesVersion numbers routing tables; operators choose it, ascending in uneven steps.
type RoutesVersion uint64

// Part is one service of a split with its weight.
type Part struct {
	Service tier.Service
	Weight  float64
}

// Route says where requests of a host and path prefix go. Exactly one of
// Service, Split and Gather is set.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is worth most; 0 is unknown.
	Target time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Attempts is the most servers to which one request is sent, for each shard; 0 is one.
	Attempts int
	// Service takes all requests.
	Service tier.Service
	// Split shares requests out by weight.
	Split []Part
	// Gather sends each request to one server of every service.
	Gather []tier.Service
	// Top is the number of records in an answer of Gather.
	Top int
	// Least is the share of Gather without which an answer is a failure.
	Least float64
}

// Objective returns the time within which an answer is wanted: the target, or
// the timeout where no target is known.
func (r *Route) Objective() time.Duration {
	if r.Target > 0 {
		return r.Target
	}
	return r.Timeout
}

// Services returns every service that the route names.
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

// Backend is what the operator says of a service's servers.
type Backend struct {
	Name tier.Service
	// Health is the path of the health endpoint.
	Health string
	// Conns is the most connections of one server, of all nodes together; 0 is unlimited.
	Conns int
}

// CallerLimits bounds what callers may send; 0 is the default of the settings.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Routes is a routing table: a whole declared document under one version.
type Routes struct {
	Version  RoutesVersion
	Routes   []Route
	Backends []Backend
	Limits   CallerLimits

	byHost   map[string][]*Route
	backends map[tier.Service]*Backend
}

// Check returns the first thing that makes the table invalid, and otherwise
// readies it for Match.
func (t *Routes) Check() error {
	t.backends = make(map[tier.Service]*Backend, len(t.Backends))
	for i := range t.Backends {
		b := &t.Backends[i]
		if b.Name == "" {
			return errors.New("a service has no name")
		}
		if t.backends[b.Name] != nil {
			return errors.Errorf("service %q stands twice", b.Name)
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
		if a, b, ok := samePlace(list); ok {
			return errors.Errorf("routes %q and %q have the same prefix of host %q", a.Name, b.Name, host)
		}
	}
	return nil
}

func samePlace(list []*Route) (a, b *Route, found bool) {
	at := map[string]*Route{}
	for _, r := range list {
		if o := at[r.Prefix]; o != nil {
			return o, r, true
		}
		at[r.Prefix] = r
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
	case r.Least < 0 || r.Least > 1:
		return errors.New("the least share is not between 0 and 1")
	}
	if err := checkTargets(r); err != nil {
		return err
	}
	for _, s := range r.Services() {
		if t.backends[s] == nil {
			return errors.Errorf("unknown service %q", s)
		}
	}
	return nil
}

func checkTargets(r *Route) error {
	kinds := 0
	for _, given := range []bool{r.Service != "", len(r.Split) > 0, len(r.Gather) > 0} {
		if given {
			kinds++
		}
	}
	if kinds != 1 {
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

// Match returns the route of a request: among those of the host the one with
// the longest prefix that begins the path, or nil.
func (t *Routes) Match(host, path string) *Route {
	for _, r := range t.byHost[Hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Backend returns what is declared of a service, or nil.
func (t *Routes) Backend(s tier.Service) *Backend { return t.backends[s] }

// Hostname returns the form in which hosts are compared: lower case, without port.
func Hostname(host string) string {
	if strings.Contains(host, ":") {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}
