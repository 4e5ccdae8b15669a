package conn

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Paths of the protocol towards servers.
const (
	SearchPath = "/search"
	WritePath  = "/write"
)

// Death reports a server instance that died with requests running on it.
type Death struct {
	Server tier.Announcement
	Prints []tier.Fingerprint
}

// Rules are the configured values that an owner goes by.
type Rules struct {
	MaxQueue  int
	Silence   time.Duration
	SlowStart time.Duration
}

// Owner sends sub-requests to the servers that this node owns, and to no other.
// Lock order: mu, then a pool's mu.
type Owner struct {
	// Clock gives the time.
	Clock tier.Clock
	// MaySend reports whether this node may send to a server now.
	MaySend func(tier.ServerID) bool
	// Rules returns the configured values for a service and server.
	Rules func(tier.Service, tier.ServerID) Rules
	// Certs is for TLS towards servers; nil is plain HTTP.
	Certs *Certs
	// Died is told of deaths.
	Died func(Death)
	// Silent is told of silent connections.
	Silent func(tier.ServerID, tier.RequestID)
	// Rejected is told of answers that were not taken.
	Rejected func(tier.ServerID, tier.RequestID, tier.Reason)

	mu    sync.Mutex
	pools map[tier.ServerID]*Pool
	left  []*Pool
}

// Update takes over the servers that this node owns now. cold reports
// whether a server instance is new in the fleet.
func (o *Owner) Update(owned map[tier.ServerID]tier.Announcement, cold func(tier.Announcement) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pools == nil {
		o.pools = map[tier.ServerID]*Pool{}
	}
	now := o.Clock.Now()
	for id, p := range o.pools {
		s, ok := owned[id]
		if ok && s.Instance == p.server.Instance && s.Address == p.server.Address {
			o.refresh(p, s)
			continue
		}
		if ok && s.Instance != p.server.Instance {
			o.replaced(p, now)
		}
		o.retire(id, p)
	}
	for id, s := range owned {
		if o.pools[id] == nil {
			o.pools[id] = o.add(s, cold(s), now)
		}
	}
}

func (o *Owner) add(s tier.Announcement, cold bool, now time.Duration) *Pool {
	r := o.Rules(s.Service, s.Server)
	p := newPool(s, o.Clock, r.MaxQueue, o.Certs)
	if cold && r.SlowStart > 0 {
		p.warm(now, r.SlowStart)
	}
	return p
}

func (o *Owner) refresh(p *Pool, s tier.Announcement) {
	r := o.Rules(s.Service, s.Server)
	p.mu.Lock()
	p.server = s
	p.slots.MaxQueue = r.MaxQueue
	p.limit(o.Clock.Now())
	p.mu.Unlock()
}

// replaced blames the requests that ran when the former instance's connections broke.
func (o *Owner) replaced(p *Pool, now time.Duration) {
	if prints := p.recentCut(now); len(prints) > 0 {
		d := Death{Server: p.server, Prints: prints}
		go o.Died(d)
	}
}

func (o *Owner) retire(id tier.ServerID, p *Pool) {
	p.close(tier.ReasonNoOwner)
	delete(o.pools, id)
	o.left = append(o.left, p)
}

// Leaving returns how many requests still run on servers that this node no longer owns.
func (o *Owner) Leaving() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	kept := o.left[:0]
	for _, p := range o.left {
		busy := p.Busy()
		if busy > 0 {
			n += busy
			kept = append(kept, p)
		}
	}
	o.left = kept
	return n
}

// Trim closes connections to servers that have been idle for too long.
func (o *Owner) Trim() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pools {
		p.lines.expire()
	}
}

// Busy returns the number of requests running on all servers.
func (o *Owner) Busy() int {
	n := o.Leaving()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pools {
		n += p.Busy()
	}
	return n
}

// Depth returns the load that this node puts on a server.
func (o *Owner) Depth(id tier.ServerID) (running, queued int, wait time.Duration) {
	o.mu.Lock()
	p := o.pools[id]
	o.mu.Unlock()
	if p == nil {
		return 0, 0, 0
	}
	return p.Depth()
}

// pool returns the pool of a server to which this node may send.
func (o *Owner) pool(id tier.ServerID) (*Pool, tier.Reason) {
	if !o.MaySend(id) {
		return nil, tier.ReasonNoOwner
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[id]
	switch {
	case p == nil:
		return nil, tier.ReasonNoOwner
	case p.server.Draining:
		return nil, tier.ReasonDraining
	}
	return p, tier.ReasonNone
}

// Query runs one sub-query of b on its server.
func (o *Owner) Query(ctx context.Context, b *Batch, s Sub, deadline time.Duration) Reply {
	rep := Reply{Attempt: s.Attempt, Shard: s.Shard, Server: s.Server}
	p, why := o.pool(s.Server)
	if p == nil {
		return rep.notRun(why)
	}
	t := &Ticket{Rank: b.Rank, Deadline: deadline, Solo: s.Solo, Print: b.Print}
	began := o.Clock.Now()
	if why := p.acquire(ctx, t); why != tier.ReasonNone {
		rep.WaitUs = waitOf(p)
		return rep.notRun(why)
	}
	if !o.MaySend(s.Server) {
		p.release(t, false)
		return rep.notRun(tier.ReasonNoOwner)
	}
	sent := o.Clock.Now()
	rep.QueuedUs = (sent - began).Microseconds()
	o.search(ctx, p, t, b, s, &rep, deadline-sent)
	rep.ServedUs = (o.Clock.Now() - sent).Microseconds()
	rep.WaitUs = waitOf(p)
	return rep
}

func waitOf(p *Pool) int64 {
	_, _, wait := p.Depth()
	return wait.Microseconds()
}

func (r Reply) notRun(why tier.Reason) Reply {
	r.Fate, r.Reason = FateNotRun, why
	return r
}

func (r *Reply) fail(why tier.Reason) { r.Fate, r.Reason = FateFailed, why }

func (o *Owner) search(ctx context.Context, p *Pool, t *Ticket, b *Batch, s Sub, rep *Reply, left time.Duration) {
	rules := o.Rules(b.Service, s.Server)
	limit := min(left, rules.Silence)
	rctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	h := http.Header{
		tier.HeaderRequestID: {string(b.Request)},
		tier.HeaderVersion:   {strconv.FormatUint(uint64(b.Snapshot.Version), 10)},
		tier.HeaderShard:     {strconv.Itoa(int(s.Shard)) + "/" + strconv.Itoa(int(b.Snapshot.Shards))},
		tier.HeaderDeadline:  {deadlineHeader(left)},
		"Content-Type":       {"application/json"},
	}
	a, err := p.lines.post(rctx, SearchPath, h, b.Body)
	if err != nil {
		o.searchFailed(ctx, p, t, b, rep, err, limit == rules.Silence)
		return
	}
	p.release(t, a.status == http.StatusOK)
	takeSearch(b, s, a, rep)
	if rep.Fate != FateDone && rep.Reason == tier.ReasonTruncated {
		o.Rejected(s.Server, b.Request, rep.Reason)
	}
}

// takeSearch checks that an answer is whole and is that of this sub-query.
func takeSearch(b *Batch, s Sub, a answer, rep *Reply) {
	switch {
	case a.status == http.StatusConflict:
		rep.Fate, rep.Reason = FateNotRun, tier.ReasonVersion
		return
	case a.header.Get(tier.HeaderNotRun) != "":
		rep.Fate, rep.Reason = FateNotRun, tier.ReasonShed
		return
	case a.status != http.StatusOK:
		rep.fail(tier.ReasonServerError)
		return
	}
	want := strconv.Itoa(int(s.Shard)) + "/" + strconv.Itoa(int(b.Snapshot.Shards))
	version := strconv.FormatUint(uint64(b.Snapshot.Version), 10)
	if a.header.Get(tier.HeaderRequestID) != string(b.Request) || a.header.Get(tier.HeaderShard) != want {
		rep.fail(tier.ReasonTruncated)
		return
	}
	if a.header.Get(tier.HeaderVersion) != version {
		rep.fail(tier.ReasonVersion)
		return
	}
	rep.Fate, rep.Data, rep.Snapshot = FateDone, json.RawMessage(a.body), b.Snapshot
}

// searchFailed tells apart a cancelled sub-query, a silent connection, a
// truncated answer and a broken connection.
func (o *Owner) searchFailed(ctx context.Context, p *Pool, t *Ticket, b *Batch, rep *Reply, err error, silence bool) {
	switch {
	case ctx.Err() != nil:
		p.releaseLater(t)
		rep.fail(tier.ReasonCanceled)
	case errors.Is(err, context.DeadlineExceeded):
		p.releaseLater(t)
		rep.fail(tier.ReasonDeadline)
		if silence {
			rep.fail(tier.ReasonLost)
			o.silent(p, b.Request)
		}
	case errors.Is(err, errTruncated):
		p.release(t, false)
		rep.fail(tier.ReasonTruncated)
		o.Rejected(p.server.Server, b.Request, tier.ReasonTruncated)
	case isRefused(err):
		p.release(t, false)
		rep.Fate, rep.Reason = FateNotRun, tier.ReasonLost
	default:
		rep.Died = o.broken(ctx, p)
		p.release(t, false)
		rep.fail(tier.ReasonLost)
	}
}

// silent retires the idle connections too: whatever lost track of one may
// have lost track of the others.
func (o *Owner) silent(p *Pool, id tier.RequestID) {
	p.lines.drop(false)
	p.spares.drop(false)
	o.Silent(p.server.Server, id)
}

// broken reports whether the server has died, and tells Died once per instance.
func (o *Owner) broken(ctx context.Context, p *Pool) bool {
	dead, first, prints := p.died(ctx)
	if first {
		o.Died(Death{Server: p.server, Prints: prints})
	}
	return dead
}

// isRefused reports whether a request cannot have reached the server.
func isRefused(err error) bool {
	var h *handshakeError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &h)
}

// Write sends a write once. It is not cancelled when the caller goes away.
func (o *Owner) Write(ctx context.Context, w *Write, deadline time.Duration) Reply {
	rep := Reply{Server: w.Server}
	p, why := o.pool(w.Server)
	if p == nil {
		return rep.notRun(why)
	}
	t := &Ticket{Deadline: deadline, Print: w.Print}
	if why := p.acquire(ctx, t); why != tier.ReasonNone {
		return rep.notRun(why)
	}
	now := o.Clock.Now()
	if !o.MaySend(w.Server) || now >= deadline {
		p.release(t, false)
		return rep.notRun(tier.ReasonNoOwner)
	}
	o.write(ctx, p, t, w, &rep, deadline-now)
	return rep
}

func (o *Owner) write(ctx context.Context, p *Pool, t *Ticket, w *Write, rep *Reply, left time.Duration) {
	wctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	h := http.Header{
		tier.HeaderRequestID: {string(w.Request)},
		tier.HeaderClaim:     {string(w.Claim)},
		tier.HeaderDeadline:  {deadlineHeader(left)},
		"Content-Type":       {"application/json"},
	}
	a, err := p.lines.post(wctx, WritePath, h, w.Body)
	switch {
	case err == nil:
		p.release(t, a.status == http.StatusOK)
		takeWrite(w, a, rep)
	case isRefused(err):
		p.release(t, false)
		rep.Fate, rep.Reason = FateNotRun, tier.ReasonLost
	case errors.Is(err, context.DeadlineExceeded):
		p.releaseLater(t)
		rep.fail(tier.ReasonLost)
		o.silent(p, w.Request)
	default:
		rep.Died = o.broken(wctx, p)
		p.release(t, false)
		rep.fail(tier.ReasonLost)
	}
}

// takeWrite takes a write's answer. Only the server's own word, or an
// address at which nothing listens, makes a write "not run".
func takeWrite(w *Write, a answer, rep *Reply) {
	switch {
	case a.header.Get(tier.HeaderRequestID) != string(w.Request):
		rep.fail(tier.ReasonTruncated)
	case a.header.Get(tier.HeaderNotRun) != "":
		rep.Fate, rep.Reason = FateNotRun, tier.ReasonShed
	case a.status != http.StatusOK:
		rep.fail(tier.ReasonServerError)
	default:
		rep.Fate, rep.Data = FateDone, json.RawMessage(a.body)
	}
}
