package reqst

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/score"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/work"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// briefRetry is told to callers of a node that is not ready yet or finds no
	// server: membership news take a few hundred milliseconds.
	briefRetry = 300 * time.Millisecond
	// replyRoom is the room for replies beyond one a shard.
	replyRoom = 8
)

// Directory gives the servers of services as the node knows them.
type Directory interface {
	// Candidates returns the servers that take new requests.
	Candidates(s tier.Service) []tier.Candidate
	// Direct returns the connections to a server, or nil if it is gone.
	Direct(id tier.ServerID) *conn.Direct
}

// Inbound is a request as a caller sent it.
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
	// Left is the time that the caller will wait; 0 is not told.
	Left time.Duration
}

// Outbound is the answer to a caller.
type Outbound struct {
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is when to come back; 0 is not told.
	RetryAfter time.Duration
	// Reason says why there is no answer of a server.
	Reason tier.Reason
}

// Door forwards callers' requests by the routing table, straight to servers
// over the node's own connections. Lock order: mu is held for no call out.
type Door struct {
	// Clock gives the time.
	Clock tier.Clock
	// Log takes events.
	Log *logrus.Logger
	// Names are the names of the platform's headers.
	Names tier.HeaderNames
	// Routes returns the routing table in force, or nil before there is one.
	Routes func() *vers.Routes
	// Directory gives the servers.
	Directory Directory
	// Workers runs the sub-requests.
	Workers *work.Pool
	// Stats takes latencies and counts.
	Stats *stats.Registry
	// Board holds observations; guarded by mu.
	Board *score.Board
	// Budget limits extra sub-requests of each service.
	Budget Allowance
	// Entries returns the number of live nodes that share the budget.
	Entries func() int

	mu      sync.Mutex
	extras  map[tier.Service]*Extra
	windows map[string]*stats.Window
	started time.Duration
	open    atomic.Int64
}

// Allowance is the fleet's budget of extra sub-requests for each service:
// Ratio of the requests and Fixed more in every Window.
type Allowance struct {
	Ratio  float64
	Fixed  float64
	Window time.Duration
}

// Start readies the door.
func (d *Door) Start() {
	d.extras = map[tier.Service]*Extra{}
	d.windows = map[string]*stats.Window{}
	d.started = d.Clock.Now()
	d.Board.Start()
}

// Open returns the number of requests under way.
func (d *Door) Open() int64 { return d.open.Load() }

// fixed returns the node's share of the fixed allowance; one that started
// within the window does not know what its former start spent.
func (d *Door) fixed(now time.Duration) float64 {
	if now-d.started < d.Budget.Window {
		return 0
	}
	return d.Budget.Fixed / float64(max(1, d.Entries()))
}

func (d *Door) extra(s tier.Service) *Extra {
	x := d.extras[s]
	if x == nil {
		x = &Extra{Window: d.Budget.Window, Ratio: d.Budget.Ratio}
		d.extras[s] = x
	}
	return x
}

func (d *Door) window(route string) *stats.Window {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.windows[route]
	if w == nil {
		w = stats.NewWindow()
		d.windows[route] = w
	}
	return w
}

// Forward answers one request.
func (d *Door) Forward(ctx context.Context, in *Inbound) Outbound {
	d.open.Add(1)
	defer d.open.Add(-1)
	table := d.Routes()
	if table == nil {
		return refusal(tier.ReasonNoControl, briefRetry)
	}
	r := table.Match(in.Host, in.Path)
	if r == nil {
		return Outbound{Status: http.StatusNotFound, Reason: tier.ReasonNoRoute}
	}
	f := &flight{door: d, route: r, in: in}
	return f.run(ctx)
}

func refusal(why tier.Reason, after time.Duration) Outbound {
	return Outbound{Status: http.StatusServiceUnavailable, Reason: why, RetryAfter: after}
}

// flight is the run of one forwarded request.
type flight struct {
	door     *Door
	route    *vers.Route
	in       *Inbound
	out      *conn.Outgoing
	services []tier.Service
	deadline time.Duration
	plan     *Plan
	replies  chan directReply
	cancels  map[int]context.CancelFunc
	sent     map[int]time.Duration
	failure  *conn.Answer
}

// directReply is a reply with the whole answer of the server.
type directReply struct {
	conn.Reply
	answer conn.Answer
}

func (f *flight) run(ctx context.Context) Outbound {
	d, r := f.door, f.route
	now := d.Clock.Now()
	left := r.Timeout
	if f.in.Left > 0 {
		left = min(left, f.in.Left)
	}
	f.deadline = now + left
	f.services = r.Services()
	if len(r.Split) > 0 {
		f.services = []tier.Service{drawPart(r.Split)}
	}
	layout := f.layout()
	f.out = conn.NewOutgoing(&d.Names, f.in.Method, f.in.Target, f.in.Host, f.in.ID, f.in.Header, f.in.Body)
	f.plan = &Plan{Layout: layout, Terms: f.terms(now), Select: f.pick, Hedge: f.spend, Retry: f.spend}
	f.replies = make(chan directReply, len(f.services)+replyRoom)
	f.cancels = make(map[int]context.CancelFunc, len(f.services))
	f.sent = make(map[int]time.Duration, len(f.services))
	f.countFirst(now)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.do(ctx, now, f.plan.Start(now))
	f.loop(ctx)
	f.endAll()
	return f.answer()
}

// drawPart chooses a service of a split by weight.
func drawPart(split []vers.Part) tier.Service {
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

func (f *flight) layout() *vers.Layout {
	l := &vers.Layout{Shards: make([][]tier.Candidate, len(f.services))}
	for i, s := range f.services {
		l.Shards[i] = f.door.Directory.Candidates(s)
	}
	return l
}

// terms returns what the plan goes by.
func (f *flight) terms(now time.Duration) Terms {
	r := f.route
	t := Terms{Deadline: f.deadline, Timeout: f.deadline, Attempts: max(1, r.Attempts), Once: !r.Idempotent}
	if r.Idempotent {
		t.HedgeDelay = f.hedgeDelay(now)
	}
	if len(r.Gather) > 0 {
		t.Least = leastParts(r)
		t.Settle = f.settleAt(now)
	}
	return t
}

// leastParts returns the number of parts that make up the least share.
func leastParts(r *vers.Route) int {
	n := len(r.Gather)
	for k := 1; k < n; k++ {
		if float64(k)/float64(n) >= r.Least {
			return k
		}
	}
	return n
}

// hedgeRank is the quantile, in permille, after which a sub-request is
// hedged: it leaves half of a budget of one in five for bursts.
const doorHedgeRank = 900

func (f *flight) hedgeDelay(now time.Duration) time.Duration {
	q, ok := f.door.window(f.route.Name).Quantile(now, doorHedgeRank)
	if !ok {
		q = f.route.Target / 3
	}
	return max(q, time.Millisecond)
}

// settleAt returns when an answer that lacks parts is better than one that
// comes after the target: the target less what the caller has waited already
// and what the way back takes.
func (f *flight) settleAt(now time.Duration) time.Duration {
	r := f.route
	spent := time.Duration(0)
	if f.in.Left > 0 && f.in.Left < r.Timeout {
		spent = r.Timeout - f.in.Left
	}
	left := r.Target - spent - r.Target/8
	if left <= 0 {
		return 0
	}
	return now + left
}

func (f *flight) countFirst(now time.Duration) {
	d := f.door
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range f.services {
		d.extra(s).First(now)
	}
}

// spend takes one extra sub-request of the budget of a shard's service.
func (f *flight) spend(shard int) bool {
	d := f.door
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.extra(f.services[shard]).Spend(now, d.fixed(now))
}

func (f *flight) pick(now time.Duration, shard tier.Shard, list []tier.Candidate) int {
	f.door.mu.Lock()
	defer f.door.mu.Unlock()
	return f.door.Board.Pick(now, f.services[shard], shard, list)
}

// loop feeds replies and time to the plan until it has finished or the caller went away.
func (f *flight) loop(ctx context.Context) {
	clock := f.door.Clock
	timer := time.NewTimer(f.plan.Next() - clock.Now())
	defer timer.Stop()
	wake := f.plan.Next()
	for !f.plan.Finished() {
		select {
		case r := <-f.replies:
			now := clock.Now()
			f.observe(now, &r)
			f.do(ctx, now, f.plan.Reply(now, r.Reply))
		case <-timer.C:
			now := clock.Now()
			f.do(ctx, now, f.plan.Tick(now))
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

func (f *flight) do(ctx context.Context, now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ActSend:
			f.send(ctx, now, a)
		case ActCancel:
			f.cancel(now, a)
		case ActClear, ActFinish:
		}
	}
}

func (f *flight) send(ctx context.Context, now time.Duration, a Action) {
	d := f.door
	f.sent[a.Attempt] = now
	d.mu.Lock()
	d.Board.Sent(a.Server)
	d.mu.Unlock()
	sctx, cancel := context.WithCancel(ctx)
	f.cancels[a.Attempt] = cancel
	out, left := f.replies, f.deadline-now
	d.Workers.Go(func() {
		defer cancel()
		rep := d.ask(sctx, f.out, a, left)
		select {
		case out <- rep:
		case <-ctx.Done():
		}
	})
}

// ask sends a sub-request to a server and tells what became of it.
func (d *Door) ask(ctx context.Context, o *conn.Outgoing, a Action, left time.Duration) directReply {
	rep := directReply{Reply: conn.Reply{Attempt: a.Attempt, Shard: a.Shard, Server: a.Server, Fate: conn.FateFailed}}
	direct := d.Directory.Direct(a.Server)
	if direct == nil {
		rep.Fate, rep.Reason = conn.FateNotRun, tier.ReasonNoOwner
		return rep
	}
	ans, err := direct.Do(ctx, o, left)
	rep.answer = ans
	switch {
	case errors.Is(err, conn.ErrNotSent):
		rep.Fate, rep.Reason = conn.FateNotRun, tier.ReasonLost
	case errors.Is(err, context.Canceled):
		rep.Reason = tier.ReasonCanceled
	case errors.Is(err, conn.ErrMalformed):
		rep.Reason = tier.ReasonTruncated
	case err != nil:
		rep.Reason = tier.ReasonLost
	default:
		d.judge(&rep)
	}
	return rep
}

// judge tells what an answer means.
func (d *Door) judge(rep *directReply) {
	h := rep.answer.Header
	rep.Mark = h.Get(d.Names.Signature)
	switch s := rep.answer.Status; {
	case s == http.StatusMisdirectedRequest:
		rep.Fate, rep.Reason = conn.FateNotRun, tier.ReasonNoOwner
	case h.Get(d.Names.NotRun) != "":
		rep.Fate, rep.Reason = conn.FateNotRun, tier.ReasonShed
	case s >= http.StatusInternalServerError:
		rep.Reason = tier.ReasonServerError
	case s < http.StatusMultipleChoices && (rep.Mark == "" || h.Get("Content-Encoding") != ""):
		rep.Reason = tier.ReasonTruncated
	default:
		rep.Fate, rep.Data = conn.FateDone, rep.answer.Body
	}
}

// observe tells the board what a reply says of its server.
func (f *flight) observe(now time.Duration, r *directReply) {
	sent, open := f.sent[r.Attempt]
	if !open {
		return
	}
	delete(f.sent, r.Attempt)
	delete(f.cancels, r.Attempt)
	if r.Reason == tier.ReasonServerError {
		f.failure = &r.answer
	}
	if r.Fate == conn.FateDone && len(f.route.Gather) == 0 {
		f.failure = &r.answer
	}
	d := f.door
	if r.Fate == conn.FateDone && !f.plan.Hedged(r.Attempt) {
		d.window(f.route.Name).Record(now, now-sent)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case r.Fate == conn.FateDone:
		d.Board.Succeeded(now, r.Server, now-sent, 0)
	case r.Reason == tier.ReasonLost || r.Reason == tier.ReasonNoOwner:
		d.Board.Lost(now, r.Server)
	case r.Reason == tier.ReasonServerError || r.Reason == tier.ReasonTruncated:
		d.Board.Failed(now, r.Server)
	default:
		d.Board.Ended(r.Server)
	}
}

func (f *flight) cancel(now time.Duration, a Action) {
	if c := f.cancels[a.Attempt]; c != nil {
		c()
		delete(f.cancels, a.Attempt)
	}
	sent, open := f.sent[a.Attempt]
	if !open {
		return
	}
	delete(f.sent, a.Attempt)
	d := f.door
	if a.Cause == CauseBeaten {
		// Without the losers' times the quantile would fall with every hedge, and ask for more of them.
		d.window(f.route.Name).Record(now, now-sent)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Cause == CauseBeaten {
		d.Board.Beaten(now, a.Server)
		return
	}
	d.Board.Ended(a.Server)
}

// endAll closes the books on what is still open.
func (f *flight) endAll() {
	for id, c := range f.cancels {
		c()
		delete(f.cancels, id)
	}
	d := f.door
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range f.sent {
		d.Board.Ended(f.plan.attempts[id].server)
	}
}

// answer makes the caller's answer from what the plan came to.
func (f *flight) answer() Outbound {
	p := f.plan
	if p.Covered() {
		if len(f.route.Gather) > 0 {
			return f.gathered()
		}
		return f.passed()
	}
	if f.failure != nil && len(f.route.Gather) == 0 {
		return f.passed()
	}
	why := p.Answer().Reason
	if !p.Ran() {
		return refusal(why, briefRetry)
	}
	if f.door.Clock.Now() >= f.deadline {
		return Outbound{Status: http.StatusGatewayTimeout, Reason: why}
	}
	return Outbound{Status: http.StatusBadGateway, Reason: why, RetryAfter: briefRetry}
}

// passed returns a server's own answer unchanged.
func (f *flight) passed() Outbound {
	h := f.failure.Header
	conn.StripHop(h)
	return Outbound{Status: f.failure.Status, Header: h, Body: f.failure.Body}
}

func (f *flight) gathered() Outbound {
	marks, data, missing := f.plan.Marks()
	names := &f.door.Names
	h := http.Header{}
	h.Set(names.Parts, strings.Join(marks, ", "))
	h.Set(names.Missing, strconv.Itoa(missing))
	h.Set("Content-Type", "application/octet-stream")
	return Outbound{Status: http.StatusOK, Header: h, Body: mergeTop(data, f.route.Top)}
}
