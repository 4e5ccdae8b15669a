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
	// ownerSlack is added to server.silence before an entry gives up on an owner's reply.
	ownerSlack = 100 * time.Millisecond
	// firstHedgeDelay is used until there are enough samples for a quantile.
	firstHedgeDelay = 50 * time.Millisecond
	// leastRetryAfter is told to callers where nothing better is known.
	leastRetryAfter = 500 * time.Millisecond
)

// Engine answers queries and writes of one entry.
// Lock order: mu is taken last and held for no call.
type Engine struct {
	// Self is the node.
	Self tier.NodeID
	// Instance is the node's present start.
	Instance tier.Instance
	// Clock gives the time.
	Clock tier.Clock
	// Log takes events.
	Log *logrus.Logger
	// Fleet is the view of the fleet.
	Fleet *fleet.Fleet
	// Owner sends to servers that this node owns.
	Owner *conn.Owner
	// Mesh reaches the other nodes.
	Mesh *conn.Mesh
	// Propose makes commands durable.
	Propose tier.Proposer[store.Command, store.Result]
	// Workers runs the sub-requests.
	Workers *work.Pool
	// Stats takes latencies and counts.
	Stats *stats.Registry
	// Board and Gate hold observations and admission; guarded by mu.
	Board *score.Board
	Gate  *admit.Gate

	mu       sync.Mutex
	hedges   map[tier.Service]*Budget
	retries  map[tier.Service]*Budget
	windows  map[tier.Service]*stats.Window
	suspects map[tier.Fingerprint]store.Suspect
	next     atomic.Uint64
	muxes    conn.Muxes
	muxConn  conn.MuxServer
	open     atomic.Int64
}

// Start readies the engine.
func (e *Engine) Start() {
	e.hedges = map[tier.Service]*Budget{}
	e.retries = map[tier.Service]*Budget{}
	e.windows = map[tier.Service]*stats.Window{}
	e.suspects = map[tier.Fingerprint]store.Suspect{}
	e.muxes.Mesh = e.Mesh
	e.serveBatches()
	e.Board.Start()
	e.Gate.Rate = e.rate
	e.Gate.Start()
}

// rate returns an account's share of its fleet-wide rate at this entry.
func (e *Engine) rate(a tier.Account) float64 {
	r := e.Fleet.Config().Get(vers.KeyAccountRate, vers.Account(a))
	return float64(r) / float64(max(1, e.Fleet.Entries()))
}

// Open returns the number of requests under way.
func (e *Engine) Open() int64 { return e.open.Load() }

// SetSuspects takes over the list of suspected and quarantined requests.
func (e *Engine) SetSuspects(list []store.Suspect) {
	m := make(map[tier.Fingerprint]store.Suspect, len(list))
	for _, s := range list {
		m[s.Fingerprint] = s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects = m
}

// ServersChanged tells the board which servers came, changed or went.
func (e *Engine) ServersChanged(changed map[tier.ServerID]bool, live map[tier.ServerID]tier.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range changed {
		a, ok := live[id]
		e.Board.Keep(id, a.Instance, ok)
	}
}

func (e *Engine) suspect(f tier.Fingerprint) (store.Suspect, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.suspects[f]
	return s, ok
}

// NewID returns a request id that no other request has.
func (e *Engine) NewID() tier.RequestID {
	n := e.next.Add(1)
	return tier.RequestID(string(e.Self) + "-" + strconv.FormatUint(uint64(e.Instance), 36) + "-" + strconv.FormatUint(n, 36))
}

// serviceLabel keeps callers from filling the statistics with services that do not exist.
func (e *Engine) serviceLabel(s tier.Service) tier.Service {
	if e.Fleet.Catalog().Known(s) {
		return s
	}
	return stats.UnknownService
}

// Fingerprint returns the fingerprint of a request's content.
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

// deadline returns the time allowed for a request: what it asks for, within the configured one.
func (e *Engine) deadline(asked tier.Millis, s tier.Service, a tier.Account) time.Duration {
	most := e.Fleet.Config().Millis(vers.KeyDeadline, vers.Account(a), vers.Service(s))
	if asked <= 0 {
		return most
	}
	return min(asked.Duration(), most)
}

func (e *Engine) budget(m map[tier.Service]*Budget, s tier.Service) *Budget {
	b := m[s]
	if b == nil {
		b = &Budget{}
		m[s] = b
	}
	return b
}

func (e *Engine) window(s tier.Service) *stats.Window {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.windows[s]
	if w == nil {
		w = stats.NewWindow()
		e.windows[s] = w
	}
	return w
}

// spend returns functions that take from the hedge and retry budgets of a service.
func (e *Engine) spend(s tier.Service) (hedge, retry func(int) bool) {
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

// earn credits the budgets with n first sub-requests.
func (e *Engine) earn(s tier.Service, n int) {
	c := e.Fleet.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(e.hedges, s).Earn(n, c.Get(vers.KeyHedgeBudget, vers.Service(s)))
	e.budget(e.retries, s).Earn(n, c.Get(vers.KeyRetryBudget, vers.Service(s)))
}

func (e *Engine) terms(now, deadline time.Duration, s tier.Service, suspect bool) Terms {
	c := e.Fleet.Config()
	t := Terms{
		Deadline: deadline,
		Timeout:  c.Millis(vers.KeySilence, vers.Service(s)) + ownerSlack,
		Suspect:  suspect,
	}
	budget := c.Get(vers.KeyHedgeBudget, vers.Service(s))
	if budget == 0 {
		return t
	}
	q, ok := e.window(s).Quantile(now, hedgeRank(c.Get(vers.KeyHedgeRank, vers.Service(s)), budget))
	if !ok {
		q = firstHedgeDelay
	}
	t.HedgeDelay = max(q, c.Millis(vers.KeyHedgeFloor, vers.Service(s)))
	return t
}

// hedgeRank returns the quantile, in permille, after which hedges are sent: one
// at which three quarters of the budget are wanted, so that it goes to the
// slowest and is not used up when stragglers come in a row.
func hedgeRank(rank, budget int64) int64 { return min(max(rank, 1000-3*budget/4), 999) }

// enter admits a request, or says why not and when to come back.
func (e *Engine) enter(now time.Duration, a tier.Account, s tier.Service, rank int) (tier.Reason, time.Duration) {
	if why := e.Fleet.Refusing(); why != tier.ReasonNone {
		return why, leastRetryAfter
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Gate.Enter(now, a, s, rank)
}

// quarantined returns how long the request is refused, or 0.
func (e *Engine) quarantined(f tier.Fingerprint) (hold time.Duration, suspect bool) {
	s, ok := e.suspect(f)
	if !ok {
		return 0, false
	}
	left := tier.Millis(s.UntilMs - time.Now().UnixMilli()).Duration()
	if left <= 0 {
		return 0, false
	}
	if s.Quarantined {
		return left, true
	}
	return 0, true
}

// clearSuspect tells the fleet that a suspect ran without harm.
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

// Blame tells the fleet which requests ran on a server when it died.
func (e *Engine) Blame(d conn.Death) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	_, _ = e.Propose.Propose(ctx, store.Command{Blame: &store.Blame{
		Server: d.Server.Server, Instance: d.Server.Instance, Service: d.Server.Service, Fingerprints: d.Prints,
	}})
}

// Suspects returns the suspected and quarantined requests, by fingerprint.
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
