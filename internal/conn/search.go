package conn

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

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
	a, err := p.transport.post(rctx, SearchPath, h, b.Body)
	if err != nil {
		o.searchFailed(ctx, p, t, b, rep, err, limit == rules.Silence)
		return
	}
	p.release(t, a.status == http.StatusOK)
	takeSearch(h, b.Snapshot, a, rep)
	if rep.Fate != FateDone && rep.Reason == tier.ReasonTruncated {
		o.Rejected(s.Server, b.Request, rep.Reason)
	}
}

// takeSearch checks that an answer is whole and is that of the request with the header sent.
func takeSearch(sent http.Header, snap tier.Snapshot, a answer, rep *Reply) {
	same := func(key string) bool { return a.header.Get(key) == sent.Get(key) }
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
	if !same(tier.HeaderRequestID) || !same(tier.HeaderShard) {
		rep.fail(tier.ReasonTruncated)
		return
	}
	if !same(tier.HeaderVersion) {
		rep.fail(tier.ReasonVersion)
		return
	}
	rep.Fate, rep.Data, rep.Snapshot = FateDone, json.RawMessage(a.body), snap
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
	p.transport.drop(false)
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
