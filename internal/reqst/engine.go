package reqst

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/admit"
	"sassafrasring.dev/sassafrasring/internal/proc/fleet"
	"sassafrasring.dev/sassafrasring/internal/proc/score"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/proc/work"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// ownerSlack is the extra time beyond server.silence that an entry waits for an owner's
	// reply.
	ownerSlack = 100 * time.Millisecond
	// firstHedgeDelay is the hedge delay until there are enough samples for a quantile.
	firstHedgeDelay = 50 * time.Millisecond
	// minRetryAfter is the retry delay where no better estimate exists, and the minimum for
	// unfinished requests.
	minRetryAfter = 500 * time.Millisecond
)

// Engine runs the queries and writes of one entry. Lock order: mu is taken last and never
// held during a blocking call.
type Engine struct {
	// Self is the id of this node.
	Self tier.NodeID
	// Instance identifies the node's current start.
	Instance tier.Instance
	// Clock is the time source.
	Clock tier.Clock
	// Log receives events.
	Log *logrus.Logger
	// Fleet is this node's view of the fleet.
	Fleet *fleet.Fleet
	// Owner sends to the servers owned by this node.
	Owner *conn.Owner
	// Mesh connects to the other nodes.
	Mesh *conn.Mesh
	// Propose replicates commands durably.
	Propose tier.Proposer[store.Command, store.Result]
	// Workers runs the sub-requests.
	Workers *work.Pool
	// Stats records latencies and counters.
	Stats *stats.Registry
	// Board holds observations of servers and Gate does admission control; both guarded by
	// mu.
	Board *score.Board
	Gate  *admit.Gate

	mu             sync.Mutex
	hedges         map[tier.Service]*Budget
	retries        map[tier.Service]*Budget
	latencyWindows map[tier.Service]*stats.Window
	suspects       map[tier.Fingerprint]store.Suspect
	lastID         atomic.Uint64
	muxes          conn.MuxClient
	muxServer      conn.MuxServer
	open           atomic.Int64
}

// Start initializes the engine.
func (e *Engine) Start() {
	e.hedges = map[tier.Service]*Budget{}
	e.retries = map[tier.Service]*Budget{}
	e.latencyWindows = map[tier.Service]*stats.Window{}
	e.suspects = map[tier.Fingerprint]store.Suspect{}
	e.muxes.Mesh = e.Mesh
	e.initMuxServer()
	e.Board.Start()
	e.Gate.Rate = e.rate
	e.Gate.Start()
}

// rate returns the part of an account's fleet-wide rate limit that applies at this entry.
func (e *Engine) rate(a tier.Account) float64 {
	r := e.Fleet.Config().Get(vers.KeyAccountRate, vers.Account(a))
	return float64(r) / float64(max(1, e.Fleet.Entries()))
}

// Open returns the number of requests in progress.
func (e *Engine) Open() int64 { return e.open.Load() }

// SetSuspects replaces the list of suspected and quarantined requests.
func (e *Engine) SetSuspects(list []store.Suspect) {
	m := make(map[tier.Fingerprint]store.Suspect, len(list))
	for _, s := range list {
		m[s.Fingerprint] = s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects = m
}

// ServersChanged updates the board with servers that were added, changed or removed.
func (e *Engine) ServersChanged(changed map[tier.ServerID]bool, live map[tier.ServerID]tier.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range changed {
		a, ok := live[id]
		e.Board.SetInstance(id, a.Instance, ok)
	}
}

func (e *Engine) suspect(f tier.Fingerprint) (store.Suspect, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.suspects[f]
	return s, ok
}

// NewID returns a unique request id.
func (e *Engine) NewID() tier.RequestID {
	n := e.lastID.Add(1)
	return tier.RequestID(string(e.Self) + "-" + strconv.FormatUint(uint64(e.Instance), 36) + "-" + strconv.FormatUint(n, 36))
}

// serviceLabel maps services that do not exist to one label, so that callers cannot create
// arbitrary statistics series.
func (e *Engine) serviceLabel(s tier.Service) tier.Service {
	if e.Fleet.Catalog().Known(s) {
		return s
	}
	return stats.UnknownService
}

// Fingerprint returns the hash of a request's service and body; it is never 0.
func Fingerprint(s tier.Service, body []byte) tier.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(s))
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	f := tier.Fingerprint(d.Sum64())
	if f == 0 {
		return 1
	}
	return f
}

// allowedTime returns the time allowed for a request: the requested one, capped by the
// configured deadline.
func (e *Engine) allowedTime(requested tier.Millis, s tier.Service, a tier.Account) time.Duration {
	limit := e.Fleet.Config().Millis(vers.KeyDeadline, vers.Account(a), vers.Service(s))
	if requested <= 0 {
		return limit
	}
	return min(requested.Duration(), limit)
}

func (e *Engine) budget(m map[tier.Service]*Budget, s tier.Service) *Budget {
	b := m[s]
	if b == nil {
		b = &Budget{}
		m[s] = b
	}
	return b
}

func (e *Engine) latencyWindow(s tier.Service) *stats.Window {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.latencyWindows[s]
	if w == nil {
		w = stats.NewWindow()
		e.latencyWindows[s] = w
	}
	return w
}

// budgetSpenders returns functions that spend from the hedge and retry budgets of a
// service.
func (e *Engine) budgetSpenders(s tier.Service) (hedge, retry func(int) bool) {
	take := func(m map[tier.Service]*Budget, name string) func(int) bool {
		return func(int) bool {
			e.mu.Lock()
			ok := e.budget(m, s).Spend()
			e.mu.Unlock()
			if ok {
				e.Stats.Count(name, string(s))
			}
			return ok
		}
	}
	return take(e.hedges, "hedges"), take(e.retries, "retries")
}

// earn credits both budgets for n first sub-requests.
func (e *Engine) earn(s tier.Service, n int) {
	c := e.Fleet.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(e.hedges, s).Earn(n, c.Get(vers.KeyHedgeBudget, vers.Service(s)))
	e.budget(e.retries, s).Earn(n, c.Get(vers.KeyRetryBudget, vers.Service(s)))
}

func (e *Engine) planOptions(now, deadline time.Duration, s tier.Service, suspect bool) PlanOptions {
	c := e.Fleet.Config()
	t := PlanOptions{
		Deadline: deadline,
		Timeout:  c.Millis(vers.KeySilence, vers.Service(s)) + ownerSlack,
		Suspect:  suspect,
	}
	budget := c.Get(vers.KeyHedgeBudget, vers.Service(s))
	if budget == 0 {
		return t
	}
	q, ok := e.latencyWindow(s).Quantile(now, hedgeQuantile(c.Get(vers.KeyHedgeQuantile, vers.Service(s)), budget))
	if !ok {
		q = firstHedgeDelay
	}
	t.HedgeDelay = max(q, c.Millis(vers.KeyHedgeFloor, vers.Service(s)))
	return t
}

// hedgeQuantile returns the latency quantile, in permille, after which hedges are sent. It
// is high enough that hedges use on average three quarters of the budget, so that they go
// to the slowest sub-requests and a run of stragglers does not exhaust the budget.
func hedgeQuantile(quantile, budget int64) int64 { return min(max(quantile, 1000-3*budget/4), 999) }

// admit admits a request, or returns the reason for refusing it and the retry delay.
func (e *Engine) admit(now time.Duration, a tier.Account, s tier.Service, rank int) (tier.Reason, time.Duration) {
	if why := e.Fleet.RefusalReason(); why != tier.ReasonNone {
		return why, minRetryAfter
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Gate.Admit(now, a, s, rank)
}

// quarantined returns how long the request will be refused, or 0, and whether it is a
// suspect.
func (e *Engine) quarantined(f tier.Fingerprint) (hold time.Duration, suspect bool) {
	s, ok := e.suspect(f)
	if !ok {
		return 0, false
	}
	remaining := tier.Millis(s.UntilMs - time.Now().UnixMilli()).Duration()
	if remaining <= 0 {
		return 0, false
	}
	if s.Quarantined {
		return remaining, true
	}
	return 0, true
}

// clearSuspect proposes to clear a suspect that ran without killing a server.
func (e *Engine) clearSuspect(f tier.Fingerprint) {
	if _, ok := e.suspect(f); !ok {
		return
	}
	e.Workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		_, _ = e.Propose.Propose(ctx, store.Command{Clear: &store.Clear{Fingerprint: f}})
	})
}

// Blame proposes a record of the requests that were running on a server when it died.
func (e *Engine) Blame(d conn.Death) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	_, _ = e.Propose.Propose(ctx, store.Command{DeathReport: &store.DeathReport{
		Server: d.Server.Server, Instance: d.Server.Instance, Service: d.Server.Service, Fingerprints: d.Fingerprints,
	}})
}

// Suspects returns the suspected and quarantined requests, sorted by fingerprint.
func (e *Engine) Suspects() []store.Suspect {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]store.Suspect, 0, len(e.suspects))
	for _, s := range e.suspects {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}
