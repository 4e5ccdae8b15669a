package reqst

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/internal/proc/reach"
	"sassafrasring.dev/sassafrasring/internal/proc/shed"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/proc/work"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// shortRetryAfter is the retry delay for callers of a node that is not ready yet or finds
	// no server: membership changes take a few hundred milliseconds to arrive.
	shortRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the retry delay for callers of a node that is about to stop: other nodes are ready.
	drainRetryAfter = 50 * time.Millisecond
	// initialLatencyDivisor divides a route's target to estimate the latency of its answers
	// until the first one is measured. It assumes that the work sent to servers fits the
	// target.
	initialLatencyDivisor = 4
	// initialBudgetShare is the fraction of its share of the fixed allowance that a node uses
	// during its first window, because it does not know what it spent before the restart.
	initialBudgetShare = 0.4
)

// Directory looks up the servers of services as known to this node.
type Directory interface {
	// Candidates returns the servers that accept new requests.
	Candidates(s tier.Service) []tier.Candidate
	// Direct returns the connections to a server, or nil if the server is gone.
	Direct(id tier.ServerID) *conn.Direct
	// Accepts reports whether a server accepts new requests.
	Accepts(id tier.ServerID) bool
	// Fate returns what is known about an instance of a server; born is its start in Unix milliseconds.
	Fate(id tier.ServerID, born int64) Fate
}

// Inbound is a request received from a caller.
type Inbound struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	// Target is the request target, Path its path.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// TimeLeft is how long the caller will wait; 0 if it did not say.
	TimeLeft time.Duration
	// Relayed is set if another node passed the request on; RoutesVersion is the version of its routing table.
	Relayed       bool
	RoutesVersion vers.RoutesVersion
	// Attempts is the number of servers of each shard that may run a relayed request; 0 means what the route allows. Repeat
	// is set if the request was counted at another node before.
	Attempts int
	Repeat   bool
	// Tenant is the caller's tenant, once its key has been recognized; "" where no key is needed.
	Tenant tier.Tenant

	// quota is what the request took from the tenant's quota.
	quota quota.Token
}

// Outbound is the answer to a caller.
type Outbound struct {
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is the suggested delay before a retry; 0 for none.
	RetryAfter time.Duration
	// Reason says why there is no answer from a server.
	Reason tier.Reason
	// Attempts is the greatest number of servers of one shard that may have run a relayed request. Accounted is set if it is
	// known.
	Attempts  int
	Accounted bool
	// Release, if not nil, must be called once Body has been written: it gives back the room that the
	// servers' answers took.
	Release func()
}

// Forwarder forwards callers' requests to servers by the routing table, over the node's own
// connections. Lock order: mu is never held during network I/O or another blocking call.
type Forwarder struct {
	// Clock is the time source.
	Clock tier.Clock
	// Log receives events.
	Log *logrus.Logger
	// Names are the platform's header names.
	Names tier.HeaderNames
	// Routes returns the current routing table, or nil before one has been loaded.
	Routes func() *vers.Routes
	// Directory looks up servers.
	Directory Directory
	// Workers runs the sub-requests.
	Workers *work.Pool
	// Stats records latencies and counters.
	Stats *stats.Registry
	// Board holds the observations of servers; guarded by mu.
	Board *pace.Board
	// Budget limits the extra sub-requests of each service.
	Budget Allowance
	// ServerDied is called for each server that died while running a request; it must not block.
	ServerDied func(Death)
	// TrialNode returns the node that sends the trials of a suspected request, or "" if this node does not know; nil means
	// this node.
	TrialNode func(tier.Fingerprint) tier.NodeID
	// TrialEnded is called with what other nodes are to be told of a trial, or of an answer to a suspected request; it must
	// not block.
	TrialEnded func(Trial)
	// Share returns this node's share of the fleet's fixed allowance.
	Share func() float64
	// LimitShare returns this node's share of the limit that a server names; nil means all of it.
	LimitShare func(tier.ServerID) float64
	// Notify is called with what other nodes are to be told of a server; it must not block.
	Notify func(terms.Notice)
	// RelayPeers returns the nodes through which requests may be relayed while this node is cut off from the servers.
	RelayPeers func() []tier.NodeID
	// RelayTo sends a request through another node and returns its answer; nil disables relaying. The error wraps
	// conn.ErrNotSent if that node did not receive the request.
	RelayTo func(ctx context.Context, peer tier.NodeID, in *Inbound) (Outbound, error)
	// GraceLeft returns how much time is left for requests while this node only finishes them before it stops; ok is false
	// at other times. nil means never.
	GraceLeft func() (left time.Duration, ok bool)
	// Proof proves that the keys of the routing table are still valid; nil means that they always are.
	Proof Proof
	// Quota holds the tenants' quotas; nil means that there are none.
	Quota Quota
	// Selection restricts the choice of servers; nil restricts nothing.
	Selection Selection
	// Self is this node.
	Self tier.NodeID
	// RoutesRecent reports whether the routing table is recent enough to say that a route does not
	// exist; nil means always.
	RoutesRecent func() bool

	mu             sync.Mutex
	extraBudgets   map[tier.Service]*ExtraBudget
	latencyMedians map[string]*pace.Median
	// gates admit searches, by the first of their services.
	gates       map[tier.Service]*shed.Gate
	minShare    WindowMin
	started     time.Duration
	failureLog  event.Limit
	refusalLogs refusalLogs
	suspects    Suspects
	deathWatch  deathWatch
	terms       terms.Table
	// coldChoices counts the choices among servers of which some are cold.
	coldChoices uint64
	reach       reach.Board
	// reachUpdated is when UpdateReach was last called.
	reachUpdated time.Duration
	relays       relayPeers
	// cutSignal is closed while this node is cut off from the servers (cut), to wake the requests that wait for them.
	cutSignal chan struct{}
	cut       atomic.Bool
	base      context.Context
	open      atomic.Int64
	served    atomic.Int64
}

// Allowance is the fleet's budget of extra sub-requests for each service: in every Window,
// Ratio times the number of requests plus Fixed.
type Allowance struct {
	Ratio  float64
	Fixed  float64
	Window time.Duration
}

// Start initializes the Forwarder; ctx bounds all sub-requests.
func (d *Forwarder) Start(ctx context.Context) {
	d.base = ctx
	d.extraBudgets = map[tier.Service]*ExtraBudget{}
	d.latencyMedians = map[string]*pace.Median{}
	d.gates = map[tier.Service]*shed.Gate{}
	d.started, d.minShare = d.Clock.Now(), WindowMin{Window: d.Budget.Window}
	d.Board.Start()
	d.startTerms()
	d.reach.Start()
	d.cutSignal = make(chan struct{})
}

// ForgetGone drops the observations of servers that are in the directory no more, and the gates of services without servers.
func (d *Forwarder) ForgetGone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Board.Forget(d.known)
	maps.DeleteFunc(d.gates, func(s tier.Service, _ *shed.Gate) bool { return len(d.Directory.Candidates(s)) == 0 })
	d.terms.Forget(d.known)
	d.reach.Forget(d.known)
}

func (d *Forwarder) known(id tier.ServerID) bool { return d.Directory.Direct(id) != nil }

// Served returns the number of requests received since the start.
func (d *Forwarder) Served() int64 { return d.served.Load() }

// Open returns the number of requests in progress.
func (d *Forwarder) Open() int64 { return d.open.Load() }

// fixedAllowance returns the node's share of the fixed allowance. It uses the minimum
// share of the last window, since the nodes' shares add up to one at any moment but not
// over a window. A node that started less than a window ago uses less, because it does not
// know what it spent before the restart.
func (d *Forwarder) fixedAllowance(now time.Duration) float64 {
	share := d.Budget.Fixed * d.minShare.Record(now, d.Share())
	if now-d.started < d.Budget.Window {
		share *= initialBudgetShare
	}
	return share
}

// RemainingBudgets returns the remaining share of the extra sub-request allowance, by service.
func (d *Forwarder) RemainingBudgets() map[tier.Service]float64 {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	fixed := d.fixedAllowance(now)
	out := make(map[tier.Service]float64, len(d.extraBudgets))
	for s, x := range d.extraBudgets {
		out[s] = x.RemainingShare(now, fixed)
	}
	return out
}

func (d *Forwarder) extraBudget(s tier.Service) *ExtraBudget {
	x := d.extraBudgets[s]
	if x == nil {
		x = &ExtraBudget{Window: d.Budget.Window, Ratio: d.Budget.Ratio}
		d.extraBudgets[s] = x
	}
	return x
}

func (d *Forwarder) latencyMedian(route string) *pace.Median {
	m := d.latencyMedians[route]
	if m == nil {
		m = &pace.Median{}
		d.latencyMedians[route] = m
	}
	return m
}

// kind returns the latency figures and the target by which servers are chosen for a route.
func (d *Forwarder) kind(r *vers.Route) pace.Timing {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.latencyMedian(r.Name)
	return pace.Timing{Base: max(m.Value(r.Objective()/initialLatencyDivisor), time.Millisecond), Quick: m.Quick(), Target: r.Objective()}
}

// Forward handles one request.
func (d *Forwarder) Forward(ctx context.Context, in *Inbound) Outbound {
	d.open.Add(1)
	defer d.open.Add(-1)
	d.served.Add(1)
	table := d.Routes()
	if table == nil {
		return refusal(tier.ReasonNoControl, shortRetryAfter)
	}
	r := table.Match(in.Host, in.Path)
	if in.Relayed && in.RoutesVersion > table.Version {
		return refusal(tier.ReasonNoControl, shortRetryAfter)
	}
	if r == nil && d.RoutesRecent != nil && !d.RoutesRecent() {
		return refusal(tier.ReasonNoControl, shortRetryAfter)
	}
	if r == nil {
		return Outbound{Status: http.StatusNotFound, Reason: tier.ReasonNoRoute}
	}
	tenant, refused := d.identify(in, table, r)
	if refused != nil {
		return d.refused(in, r, refused)
	}
	if d.outlastsGrace(in, r) {
		return refusal(tier.ReasonDraining, drainRetryAfter)
	}
	f := &forwarding{forwarder: d, route: r, in: in, tenant: tenant, routesVersion: table.Version, fingerprint: fingerprintOf(in)}
	if refused := d.checkSuspect(f); refused != nil {
		return *refused
	}
	defer d.endTrial(f)
	var began time.Duration
	if tenant != nil {
		began = d.Clock.Now()
	}
	if refused := d.takeQuota(ctx, in, r, tenant); refused != nil {
		return d.refused(in, r, refused)
	}
	out, done := d.serve(ctx, f, table.Version)
	if tenant != nil {
		d.countTenant(in, r, &out, d.Clock.Now()-began)
	}
	d.returnQuota(f, in, &out)
	if done {
		return out
	}
	out.Attempts, out.Accounted = f.plan.Used(nil), true
	relayed := out.Release
	out.Release = func() {
		f.reservations.Release()
		if relayed != nil {
			relayed()
		}
	}
	f.log(&out)
	return out
}

// serve sends a request to the servers, or through another node while this one is cut off from them. done is set if no
// server was chosen here.
func (d *Forwarder) serve(ctx context.Context, f *forwarding, version vers.RoutesVersion) (out Outbound, done bool) {
	in, r, began := f.in, f.route, d.Clock.Now()
	if f.trialNode != "" {
		f.passedOn = true
		return d.relayTrial(ctx, f, version), true
	}
	if d.cut.Load() && d.relayable(in) {
		if out, done = d.relay(ctx, in, r, version, began, account{limit: r.MaxAttempts()}); done {
			f.passedOn = true
			return out, true
		}
		left := began + in.timeLeft(r) - d.Clock.Now()
		if left <= 0 {
			return refusal(tier.ReasonIsolated, shortRetryAfter), true
		}
		rest := *in
		rest.TimeLeft = left
		f.in = &rest
	}
	out = f.run(ctx)
	if f.diverted {
		if other, ok := d.relay(ctx, in, r, version, began, f.account()); ok {
			out, f.passedOn = other, true
		}
	}
	return out, false
}

// timeLeft returns how long the caller of a request on a route will wait.
func (in *Inbound) timeLeft(r *vers.Route) time.Duration {
	if in.TimeLeft > 0 {
		return min(r.Timeout, in.TimeLeft)
	}
	return r.Timeout
}

// outlastsGrace reports whether this node may stop before the request has been answered.
func (d *Forwarder) outlastsGrace(in *Inbound, r *vers.Route) bool {
	if d.GraceLeft == nil {
		return false
	}
	left, stopping := d.GraceLeft()
	return stopping && in.timeLeft(r) > left
}

func refusal(why tier.Reason, after time.Duration) Outbound {
	return Outbound{Status: http.StatusServiceUnavailable, Reason: why, RetryAfter: after}
}
