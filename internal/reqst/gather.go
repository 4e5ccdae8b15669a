package reqst

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Query runs a query of an account.
func (e *Engine) Query(ctx context.Context, a tier.Account, q tier.QueryRequest) tier.QueryAnswer {
	e.open.Add(1)
	defer e.open.Add(-1)
	began := e.Clock.Now()
	id := e.NewID()
	ans := e.query(ctx, began, id, a, q)
	ans.RequestID = id
	if ans.Shards == nil {
		ans.Shards = []tier.ShardAnswer{}
	}
	if ans.Missing == nil {
		ans.Missing = []tier.MissingShard{}
	}
	e.Stats.Request(a, e.serviceLabel(q.Service), q.Class, ans.Outcome, ans.Reason, e.Clock.Now()-began)
	return ans
}

func notRun(why tier.Reason, after time.Duration) tier.QueryAnswer {
	return tier.QueryAnswer{Outcome: tier.NotRun, Reason: why, RetryAfterMs: tier.ToMillis(after)}
}

func (e *Engine) query(ctx context.Context, now time.Duration, id tier.RequestID, a tier.Account, q tier.QueryRequest) tier.QueryAnswer {
	fingerprint := Fingerprint(q.Service, q.Body)
	hold, suspect := e.quarantined(fingerprint)
	if hold > 0 {
		event.RequestQuarantined.Log(e.Log, nil, logrus.Fields{"account": a, "service": q.Service, "fingerprint": fingerprint})
		return notRun(tier.ReasonQuarantine, hold)
	}
	if e.Fleet.Pin(q.Service) == nil {
		return notRun(tier.ReasonNoServer, minRetryAfter)
	}
	rank, _ := q.Class.Rank()
	if why, after := e.admit(now, a, q.Service, rank); why != tier.ReasonNone {
		return notRun(why, after)
	}
	g := &queryRun{
		engine: e, id: id, query: q, rank: rank, fingerprint: fingerprint, suspect: suspect,
		deadline: now + e.allowedTime(q.DeadlineMs, q.Service, a),
	}
	defer g.reservations.Release()
	ans := g.run(ctx)
	target := e.Fleet.Config().Millis(vers.KeyAdmitTarget, vers.Service(q.Service))
	end := e.Clock.Now()
	e.mu.Lock()
	e.Gate.Release(end, a, q.Service, end-now, g.queued, target, g.overload)
	e.mu.Unlock()
	if ans.Outcome != tier.Done {
		ans.RetryAfterMs = max(ans.RetryAfterMs, tier.ToMillis(minRetryAfter))
	}
	return ans
}

// queryRun is the state of one query; it may run several plans.
type queryRun struct {
	engine      *Engine
	id          tier.RequestID
	query       tier.QueryRequest
	rank        int
	fingerprint tier.Fingerprint
	suspect     bool
	deadline    time.Duration
	queued      time.Duration
	overload    bool

	plan    *Plan
	replies chan conn.Reply
	cancels map[int]func()
	sent    map[int]time.Duration
	// reservations are those of the answers of this node's own servers.
	reservations conn.Reservations
}

const (
	// maxRestarts is how often a query may restart on a newer snapshot.
	maxRestarts = 2
	// maxMembershipLag is how long a query waits for this node's membership to catch up with
	// that of the servers: a change reaches all nodes within some 100 ms, a busy node within
	// a few times that. It also bounds the delay of a partial answer by servers that keep
	// refusing the snapshot they announce.
	maxMembershipLag = 500 * time.Millisecond
)

// run answers from one snapshot. If servers dropped the pinned snapshot during the query,
// the whole query restarts on the current one.
func (g *queryRun) run(ctx context.Context) tier.QueryAnswer {
	var best tier.QueryAnswer
	for try := 0; ; try++ {
		l := g.engine.Fleet.Pin(g.query.Service)
		if l == nil {
			return betterAnswer(best, notRun(tier.ReasonNoServer, minRetryAfter))
		}
		g.runPlan(ctx, l)
		g.queued = max(g.queued, g.plan.Queued())
		g.overload = g.overload || g.plan.Overloaded()
		best = betterAnswer(best, g.plan.Answer())
		if !g.plan.Stale() || try == maxRestarts || !g.awaitLayout(ctx) {
			return best
		}
	}
}

// betterAnswer returns the later of two answers to a query if it covers more or if the
// earlier one did not run.
func betterAnswer(earlier, later tier.QueryAnswer) tier.QueryAnswer {
	covers := func(a, b *tier.QueryAnswer) bool {
		return len(a.Shards)*int(b.Snapshot.Shards) > len(b.Shards)*int(a.Snapshot.Shards)
	}
	if earlier.Outcome == "" || earlier.Outcome == tier.NotRun || covers(&later, &earlier) {
		return later
	}
	return earlier
}

// awaitLayout waits until the current layout can serve the shards that the plan's could
// not; it returns false if that will not happen in time.
func (g *queryRun) awaitLayout(ctx context.Context) bool {
	e := g.engine
	limit := time.NewTimer(min(maxMembershipLag, g.deadline-e.Clock.Now()))
	defer limit.Stop()
	for {
		changed := e.Fleet.Changed()
		switch g.plan.CompareLayout(e.Fleet.Pin(g.query.Service)) {
		case LayoutMoved:
			return e.Clock.Now() < g.deadline
		case LayoutNoServer:
			return false
		case LayoutUnchanged:
		}
		select {
		case <-changed:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (g *queryRun) runPlan(ctx context.Context, l *vers.Layout) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := g.engine
	now := e.Clock.Now()
	hedge, retry := e.budgetSpenders(g.query.Service)
	g.plan = &Plan{Layout: l, Options: e.planOptions(now, g.deadline, g.query.Service, g.suspect), Select: g.pickServer, Hedge: hedgeWithinBudget(hedge), Retry: retry}
	g.replies = make(chan conn.Reply, len(l.Shards)+8)
	g.cancels = make(map[int]func(), len(l.Shards))
	g.sent = make(map[int]time.Duration, len(l.Shards))
	e.earn(g.query.Service, len(l.Shards))
	g.perform(ctx, now, g.plan.Start(now))
	g.loop(ctx)
	g.cancelOpen()
}

// loop passes replies and timer ticks to the plan until it has finished or the caller is
// gone.
func (g *queryRun) loop(ctx context.Context) {
	e := g.engine
	timer := time.NewTimer(g.plan.Next() - e.Clock.Now())
	defer timer.Stop()
	for !g.plan.Finished() {
		select {
		case r := <-g.replies:
			now := e.Clock.Now()
			g.observe(now, r)
			g.perform(ctx, now, g.plan.Reply(now, r))
		case <-timer.C:
			now := e.Clock.Now()
			g.perform(ctx, now, g.plan.Tick(now))
		case <-ctx.Done():
			g.plan.Abort()
			return
		}
		timer.Reset(g.plan.Next() - e.Clock.Now())
	}
}

// hedgeWithinBudget returns a hedge decision that depends on the budget only.
func hedgeWithinBudget(spend func(int) bool) func(time.Duration, int, time.Duration) bool {
	return func(_ time.Duration, shard int, _ time.Duration) bool { return spend(shard) }
}

func (g *queryRun) pickServer(now time.Duration, shard tier.Shard, list []tier.Candidate) int {
	e := g.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Board.Pick(now, g.query.Service, shard, list)
}

// observe updates the board and the latency window with a reply.
func (g *queryRun) observe(now time.Duration, r conn.Reply) {
	sent, open := g.sent[r.Attempt]
	if !open {
		return
	}
	delete(g.sent, r.Attempt)
	delete(g.cancels, r.Attempt)
	e := g.engine
	if r.Result == conn.ResultDone && !g.plan.Hedged(r.Attempt) {
		e.latencyWindow(g.query.Service).Record(now, now-sent)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	wait := time.Duration(r.WaitUs) * time.Microsecond
	switch {
	case r.Result == conn.ResultDone:
		e.Board.Succeeded(now, r.Server, now-sent, wait)
	case r.Reason == tier.ReasonLost || r.Reason == tier.ReasonNoOwner:
		e.Board.Lost(now, r.Server)
	case r.Reason == tier.ReasonServerError || r.Reason == tier.ReasonTruncated:
		e.Board.Failed(now, r.Server)
	default:
		e.Board.Ended(r.Server)
		e.Board.WaitReported(now, r.Server, wait)
	}
}

func (g *queryRun) perform(ctx context.Context, now time.Duration, acts []Action) {
	var batches map[tier.NodeID]*batch
	for _, a := range acts {
		switch a.Kind {
		case ActSend:
			g.addToBatch(ctx, &batches, now, a)
		case ActCancel:
			g.cancel(now, a)
		case ActClear:
			g.engine.clearSuspect(g.fingerprint)
		case ActFinish:
		}
	}
	for _, b := range batches {
		g.sendBatch(ctx, b)
	}
}

// batch holds the sub-requests for one owner.
type batch struct {
	peer conn.Peer
	subs []conn.Sub
}

func (g *queryRun) addToBatch(ctx context.Context, batches *map[tier.NodeID]*batch, now time.Duration, a Action) {
	e := g.engine
	g.sent[a.Attempt] = now
	e.mu.Lock()
	e.Board.Sent(a.Server)
	e.mu.Unlock()
	peer, ok := e.Fleet.OwnerOf(a.Server)
	if !ok {
		rep := conn.Reply{Attempt: a.Attempt, Shard: a.Shard, Server: a.Server, Result: conn.ResultNotRun, Reason: tier.ReasonNoOwner}
		out := g.replies
		e.Workers.Go(func() { deliver(ctx, out, rep) })
		return
	}
	if *batches == nil {
		*batches = map[tier.NodeID]*batch{}
	}
	b := (*batches)[peer.Node]
	if b == nil {
		b = &batch{peer: peer}
		(*batches)[peer.Node] = b
	}
	b.subs = append(b.subs, conn.Sub{Attempt: a.Attempt, Shard: a.Shard, Server: a.Server, Solo: a.Solo})
}

func (g *queryRun) cancel(now time.Duration, a Action) {
	if f := g.cancels[a.Attempt]; f != nil {
		f()
		delete(g.cancels, a.Attempt)
	}
	sent, open := g.sent[a.Attempt]
	if !open {
		return
	}
	delete(g.sent, a.Attempt)
	e := g.engine
	if a.Cause == CauseHedgeWon {
		// Without the latencies of hedged attempts that lost, each hedge would lower the
		// quantile and so cause more hedges.
		e.latencyWindow(g.query.Service).Record(now, now-sent)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch a.Cause {
	case CauseHedgeWon:
		e.Board.LostToHedge(now, a.Server)
	case CauseTimeout:
		e.Board.Lost(now, a.Server)
	default:
		e.Board.Ended(a.Server)
	}
}

// cancelOpen cancels all open attempts and records their end on the board.
func (g *queryRun) cancelOpen() {
	e := g.engine
	for id, f := range g.cancels {
		f()
		delete(g.cancels, id)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range g.sent {
		e.Board.Ended(g.plan.attempts[id].server)
	}
}

func (g *queryRun) sendBatch(ctx context.Context, b *batch) {
	msg := &conn.Batch{
		Request: g.id, Service: g.query.Service, Snapshot: g.plan.Layout.Snapshot, Fingerprint: g.fingerprint, Rank: g.rank,
		DeadlineMs: tier.ToMillis(g.deadline - g.engine.Clock.Now()), Body: g.query.Body, Subs: b.subs,
	}
	if b.peer.Node == g.engine.Self {
		out := g.replies
		for _, s := range b.subs {
			sctx, cancel := context.WithCancel(ctx)
			g.cancels[s.Attempt] = cancel
			g.engine.Workers.Go(func() {
				defer cancel()
				r := g.engine.Owner.Query(sctx, msg, s, g.deadline)
				g.reservations.Add(r.Reservation)
				deliver(ctx, out, r)
			})
		}
		return
	}
	g.sendRemote(ctx, b, msg)
}
