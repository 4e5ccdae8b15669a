package reqst

import (
	"context"
	"math/rand/v2"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/shed"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// refusedBackoff is the first delay before a retry after all servers of a shard refused a
	// connection: some of their other connections close in that time.
	refusedBackoff = 25 * time.Millisecond
	// The time reserved for returning the answer to the caller is target/returnTimeDivisor, where
	// target is the route's target, and minReturnTime at least: 4.4 ms each way to a caller in another
	// zone, and the work of a busy host. It is target/maxReturnTimeDivisor at most.
	returnTimeDivisor    = 8
	minReturnTime        = 14 * time.Millisecond
	maxReturnTimeDivisor = 4
	// rejectDivisor divides a route's target into the minimum time left with which a request
	// is rejected because of queues: the caller then has time for another attempt.
	rejectDivisor = 2
	// A part may be partLimitFactor times as long as the merged answer of its route, and at least
	// minPartLimit: a server sends its records unsorted and may send more than it has to.
	partLimitFactor = 64
	minPartLimit    = 64 << 10
	// maxTopRecords bounds the records of a merged answer that count for the limit of a part.
	maxTopRecords = 1 << 20
	// lingerFactor is the time that a sub-request that is no longer needed may keep running,
	// as a multiple of the usual latency and bounded by minLinger and maxLinger. Most pauses
	// of servers end within it.
	lingerFactor = 4
	minLinger    = 40 * time.Millisecond
	maxLinger    = 300 * time.Millisecond
)

// forwarding is the state of one forwarded request.
type forwarding struct {
	forwarder *Forwarder
	route     *vers.Route
	in        *Inbound
	// tenant is the caller's tenant, or nil where no key is needed.
	tenant   *vers.Tenant
	out      *conn.Outgoing
	services []tier.Service
	kind     pace.Timing
	// An answer after target is worth less to the caller, one after deadline nothing.
	target   time.Duration
	deadline time.Duration
	plan     *Plan
	// gate admits the searches of the route; nil if all are.
	gate *shed.Gate
	// coveredAt is when the plan had the shards that the answer needs; 0 before.
	coveredAt time.Duration
	replies   chan *directReply
	// ended is closed when nobody receives replies any more.
	ended         chan struct{}
	cancels       map[int]context.CancelFunc
	lastAnswer    *conn.Answer
	routesVersion vers.RoutesVersion
	attempts      attemptLog
	// reservations are those of the answers that this node holds for the request.
	reservations conn.Reservations
	fingerprint  tier.Fingerprint
	// trial is set if the request is a trial of a suspected one, trialNode if the trial goes through that node.
	trial     bool
	trialNode tier.NodeID
	// lateShards is the number of shards expected to be late when the request arrived.
	lateShards int
	// permitAt is when a server's limit lets this node send the next request of a shard for which it let none through;
	// 0 if there was no such shard.
	permitAt time.Duration
	// diverted is set if the node turned out to be cut off from the servers while the request waited for them, and the
	// request goes on through another node.
	diverted bool
	// passedOn is set if another node received the request.
	passedOn bool
}

// directReply is a reply with the server's whole answer.
type directReply struct {
	conn.Reply
	answer conn.Answer
}

func (f *forwarding) run(ctx context.Context) Outbound {
	d, r := f.forwarder, f.route
	now := d.Clock.Now()
	f.attempts.start = now
	f.setDeadlines(now)
	f.kind = d.kind(r)
	f.services = r.Services()
	if len(r.Split) > 0 {
		f.services = []tier.Service{pickSplitService(r.Split)}
	}
	layout, servers := f.layout()
	f.ended = make(chan struct{})
	defer close(f.ended)
	f.out = conn.NewOutgoing(&d.Names, f.in.Method, f.in.Target, f.in.Host, f.in.ID, f.in.Header, f.in.Body)
	f.out.MaxBody = f.maxPartBytes()
	if f.tenant != nil {
		f.out.AddHeader(d.Names.Tenant, string(f.tenant.Name))
	}
	f.plan = &Plan{Layout: layout, Options: f.planOptions(), Select: f.pickServer, Hedge: f.hedge, Retry: f.spendRetry, Current: f.currentServers}
	f.replies = make(chan *directReply, servers)
	f.cancels = make(map[int]context.CancelFunc, len(f.services))
	if refused := f.askGate(now); refused != nil {
		return *refused
	}
	if f.lateShards = f.countLateShards(now, layout); len(layout.Shards)-f.lateShards < max(1, f.plan.Options.MinShards) {
		return refusal(tier.ReasonOverload, shortRetryAfter)
	}
	if d.cut.Load() && len(layout.Shards)-f.countLostShards(now, layout) < max(1, f.plan.Options.MinShards) {
		return refusal(tier.ReasonIsolated, shortRetryAfter)
	}
	if !f.in.Repeat {
		f.countFirstRequests(now)
	}
	f.perform(now, f.plan.Start(now))
	f.loop(ctx)
	f.cancelOpen(ctx)
	f.tellGate(ctx)
	return f.answer()
}

// setDeadlines sets target and deadline. The time that the caller has already waited
// counts against the route's.
func (f *forwarding) setDeadlines(now time.Duration) {
	r := f.route
	left := f.in.timeLeft(r)
	f.deadline = now + left
	f.target = now + r.Objective() - (r.Timeout - left)
}

// answerDue returns when the answer must be complete at this node to reach the caller in
// time.
func (f *forwarding) answerDue() time.Duration {
	return f.target - returnTime(f.route.Objective())
}

// returnTime returns the time reserved for returning the answer of a route with this target.
func returnTime(target time.Duration) time.Duration {
	return max(target/returnTimeDivisor, min(minReturnTime, target/maxReturnTimeDivisor))
}

// countLateShards returns the number of shards where every server has a queue so long that
// its answer would be late. It returns 0 for a request that has already used much of its
// time: it is late anyway and should not be rejected again.
func (f *forwarding) countLateShards(now time.Duration, l *vers.Layout) int {
	limit := f.answerDue() - now
	if limit < f.route.Objective()/rejectDivisor {
		return 0
	}
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, list := range l.Shards {
		if d.Board.Behind(now, f.kind, list, limit) {
			n++
		}
	}
	return n
}

// pickSplitService picks a service of a traffic split at random by weight.
func pickSplitService(split []vers.Part) tier.Service {
	sum := 0.0
	for _, p := range split {
		sum += p.Weight
	}
	at := rand.Float64() * sum
	for _, p := range split {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}
	return split[len(split)-1].Service
}

// layout returns the servers of each service, and their total number.
func (f *forwarding) layout() (l *vers.Layout, servers int) {
	l = &vers.Layout{Shards: make([][]tier.Candidate, len(f.services))}
	for i, s := range f.services {
		l.Shards[i] = f.forwarder.Directory.Candidates(s)
		servers += len(l.Shards[i])
	}
	return l, servers
}

// currentServers returns the servers of a shard that accept new requests now.
func (f *forwarding) currentServers(shard int) []tier.Candidate {
	return f.forwarder.Directory.Candidates(f.services[shard])
}

// maxAttempts returns how many servers of a shard may run the request.
func (f *forwarding) maxAttempts() int {
	if f.in.Attempts > 0 {
		return min(f.in.Attempts, f.route.MaxAttempts())
	}
	return f.route.MaxAttempts()
}

// planOptions returns the options of the plan, from the route and the request.
func (f *forwarding) planOptions() PlanOptions {
	r := f.route
	t := PlanOptions{Deadline: f.deadline, Timeout: f.deadline, MaxAttempts: f.maxAttempts(), NonIdempotent: !r.Idempotent, RefusedBackoff: refusedBackoff}
	if r.Idempotent {
		t.HedgeDelay = time.Duration(hedgeEarlyFactor * float64(f.kind.Base))
	}
	if len(r.Gather) > 0 {
		t.MinShards = minParts(r)
		t.PartialFrom = f.answerDue()
	}
	if f.trial {
		t.MaxAttempts, t.HedgeDelay, t.Suspect = 1, 0, true
	}
	return t
}

// maxPartBytes returns the limit of a part's body, or 0 if the route does not gather parts.
func (f *forwarding) maxPartBytes() int64 {
	if len(f.route.Gather) == 0 {
		return 0
	}
	return max(minPartLimit, partLimitFactor*recordBytes*min(int64(f.route.Top), maxTopRecords))
}

// minParts returns the number of parts that reach the route's minimum share.
func minParts(r *vers.Route) int {
	n := len(r.Gather)
	for k := 1; k < n; k++ {
		if float64(k)/float64(n) >= r.MinShare {
			return k
		}
	}
	return n
}

func (f *forwarding) countFirstRequests(now time.Duration) {
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range f.services {
		d.extraBudget(s).RecordFirst(now)
	}
}

// spendRetry spends one extra sub-request from the budget of a shard's service.
func (f *forwarding) spendRetry(shard int) bool {
	d := f.forwarder
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.extraBudget(f.services[shard]).Spend(now, d.fixedAllowance(now)) {
		d.Stats.Count("budget_empty", string(f.services[shard]))
		return false
	}
	d.Stats.Count("retries", f.route.Name)
	return true
}

// hedge decides whether to hedge a shard's sub-request, and spends from the budget if so.
func (f *forwarding) hedge(now time.Duration, shard int, waited time.Duration) bool {
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	x, fixed := d.extraBudget(f.services[shard]), d.fixedAllowance(now)
	h := hedgeState{Base: f.kind.Base, Waited: waited, TimeLeft: f.target - now, BudgetLeft: x.RemainingShare(now, fixed)}
	if !h.due() {
		return false
	}
	if !x.Spend(now, fixed) {
		d.Stats.Count("budget_empty", string(f.services[shard]))
		return false
	}
	d.Stats.Count("hedges", f.route.Name)
	return true
}

func (f *forwarding) pickServer(now time.Duration, _ tier.Shard, list []tier.Candidate) int {
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	i, open := d.pick(now, f.kind, list)
	switch {
	case i >= 0:
		d.terms.Take(now, list[i].Server)
	case len(open) > 0:
		f.permitAt = d.nextPermit(now, open)
		d.Stats.Count("limit_held", f.route.Name)
	}
	return i
}

// loop passes replies and timer ticks to the plan until it has finished or the caller is
// gone.
func (f *forwarding) loop(ctx context.Context) {
	clock := f.forwarder.Clock
	wake := f.plan.Next()
	timer := time.NewTimer(wake - clock.Now())
	defer timer.Stop()
	cutOff := f.cutSignal()
	for !f.plan.Finished() {
		select {
		case <-cutOff:
			cutOff = nil
			if f.divert() {
				return
			}
		case r := <-f.replies:
			now := clock.Now()
			f.recordReply(now, r)
			f.perform(now, f.plan.Reply(now, r.Reply))
			f.noteCovered(now)
		case <-timer.C:
			now := clock.Now()
			f.perform(now, f.plan.Tick(now))
			wake = 0
		case <-ctx.Done():
			f.plan.Abort()
			return
		}
		if next := f.plan.Next(); next != wake {
			wake = next
			timer.Reset(next - clock.Now())
		}
	}
}

// recordReply logs the end of an attempt and keeps the answer if it may be returned to the
// caller unchanged.
func (f *forwarding) recordReply(now time.Duration, r *directReply) {
	f.attempts.ended(now, r.Attempt, r.Reason, r.answer.Status, r.answer.Use)
	delete(f.cancels, r.Attempt)
	if len(f.route.Gather) == 0 && (r.Result == conn.ResultDone || r.Reason == tier.ReasonServerError) {
		f.lastAnswer = &r.answer
	}
}

func (f *forwarding) perform(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ActSend:
			f.send(now, a)
		case ActCancel:
			f.cancelAfterLinger(a.Attempt)
		case ActClear, ActFinish:
		}
	}
}

func (f *forwarding) send(now time.Duration, a Action) {
	d := f.forwarder
	d.mu.Lock()
	d.Board.RecordSent(a.Server)
	d.terms.RecordSent(a.Server, purpose(a))
	d.reach.Sent(now, a.Server, f.kind.Base)
	d.mu.Unlock()
	f.attempts.sent(now, a)
	ctx, cancel := context.WithCancel(d.base)
	f.cancels[a.Attempt] = cancel
	sub := subRequest{forwarder: d, out: f.out, kind: f.kind, route: f.route.Name, fingerprint: f.fingerprint, action: a, careful: a.Careful || !f.route.Idempotent, gathers: len(f.route.Gather) > 0, gate: f.gate, sent: now, deadline: f.deadline}
	d.Workers.Go(func() {
		defer cancel()
		r := sub.run(ctx)
		f.reservations.Add(r.answer.Reservation)
		select {
		case f.replies <- r:
		case <-f.ended:
		}
	})
}

// cancelAfterLinger cancels a sub-request that is no longer needed, after a delay: if it
// completes before, its connection can be reused and its latency is recorded.
func (f *forwarding) cancelAfterLinger(attempt int) {
	cancel := f.cancels[attempt]
	if cancel == nil {
		return
	}
	delete(f.cancels, attempt)
	time.AfterFunc(min(max(lingerFactor*f.kind.Base, minLinger), maxLinger), cancel)
}

// cancelOpen cancels all open sub-requests: at once if the caller is gone, otherwise after
// the linger time.
func (f *forwarding) cancelOpen(ctx context.Context) {
	for attempt, cancel := range f.cancels {
		if ctx.Err() != nil {
			cancel()
			continue
		}
		f.cancelAfterLinger(attempt)
	}
}
