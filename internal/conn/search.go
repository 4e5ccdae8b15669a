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
	p, reason := o.pool(s.Server)
	if p == nil {
		return rep.notRun(reason)
	}
	t := &Ticket{Rank: b.Rank, Deadline: deadline, Solo: s.Solo, Fingerprint: b.Fingerprint}
	began := o.Clock.Now()
	if reason := p.acquire(ctx, t); reason != tier.ReasonNone {
		rep.WaitUs = expectedWait(p)
		return rep.notRun(reason)
	}
	if !o.MaySend(s.Server) {
		p.release(t, false)
		return rep.notRun(tier.ReasonNoOwner)
	}
	sent := o.Clock.Now()
	rep.QueuedUs = (sent - began).Microseconds()
	o.search(ctx, p, t, b, s, &rep, deadline-sent)
	rep.ServedUs = (o.Clock.Now() - sent).Microseconds()
	rep.WaitUs = expectedWait(p)
	return rep
}

func expectedWait(p *Pool) int64 {
	_, _, wait := p.Load()
	return wait.Microseconds()
}

func (r Reply) notRun(reason tier.Reason) Reply {
	r.Result, r.Reason = ResultNotRun, reason
	return r
}

func (r *Reply) fail(reason tier.Reason) { r.Result, r.Reason = ResultFailed, reason }

func (o *Owner) search(ctx context.Context, p *Pool, t *Ticket, b *Batch, s Sub, rep *Reply, remaining time.Duration) {
	rules := o.Settings(b.Service, s.Server)
	limit := min(remaining, rules.SilenceTimeout)
	rctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	h := http.Header{
		tier.HeaderRequestID: {o.sendingID(b.Request)},
		tier.HeaderVersion:   {strconv.FormatUint(uint64(b.Snapshot.Version), 10)},
		tier.HeaderShard:     {strconv.Itoa(int(s.Shard)) + "/" + strconv.Itoa(int(b.Snapshot.Shards))},
		tier.HeaderDeadline:  {deadlineHeader(remaining)},
		"Content-Type":       {"application/json"},
	}
	a, err := p.transport.post(rctx, SearchPath, h, b.Body)
	if err != nil {
		o.handleSearchError(ctx, p, t, b, rep, err, limit == rules.SilenceTimeout)
		return
	}
	p.release(t, a.status == http.StatusOK)
	applySearchAnswer(h, b.Snapshot, a, rep)
	rep.Reservation = a.reservation
	if rep.Result != ResultDone {
		rep.Reservation.Release()
	}
	if rep.Result != ResultDone && rep.Reason == tier.ReasonTruncated {
		o.OnRejected(s.Server, b.Request, rep.Reason)
	}
}

// applySearchAnswer checks that an answer is complete and belongs to the request with the header
// sent, and stores the result in rep.
func applySearchAnswer(sent http.Header, snap tier.Snapshot, a answer, rep *Reply) {
	same := func(key string) bool { return a.header.Get(key) == sent.Get(key) }
	switch {
	case !same(tier.HeaderRequestID):
		// A late answer to another sending says nothing about this one, not even that it did not run.
		rep.fail(tier.ReasonTruncated)
		return
	case a.status == http.StatusConflict:
		rep.Result, rep.Reason = ResultNotRun, tier.ReasonVersion
		return
	case a.header.Get(tier.HeaderNotRun) != "":
		rep.Result, rep.Reason = ResultNotRun, tier.ReasonShed
		return
	case a.status != http.StatusOK:
		rep.fail(tier.ReasonServerError)
		return
	}
	if !same(tier.HeaderShard) {
		rep.fail(tier.ReasonTruncated)
		return
	}
	if !same(tier.HeaderVersion) {
		rep.fail(tier.ReasonVersion)
		return
	}
	rep.Result, rep.Data, rep.Snapshot = ResultDone, json.RawMessage(a.body), snap
}

// handleSearchError distinguishes a cancelled sub-query, a silent connection, a truncated answer
// and a broken connection.
func (o *Owner) handleSearchError(ctx context.Context, p *Pool, t *Ticket, b *Batch, rep *Reply, err error, silenceLimited bool) {
	switch {
	case ctx.Err() != nil:
		p.releaseLater(t)
		rep.fail(tier.ReasonCanceled)
	case errors.Is(err, context.DeadlineExceeded):
		p.releaseLater(t)
		rep.fail(tier.ReasonDeadline)
		if silenceLimited {
			rep.fail(tier.ReasonLost)
			o.handleSilence(p, b.Request)
		}
	case errors.Is(err, ErrNoRoom):
		p.release(t, false)
		rep.fail(tier.ReasonNoRoom)
	case errors.Is(err, ErrMalformed):
		// A server that dies in the middle of a head leaves a malformed one.
		rep.Died = o.handleBroken(ctx, p)
		o.reject(p, t, b.Request, rep)
	case errors.Is(err, errTruncated):
		o.reject(p, t, b.Request, rep)
	case neverReached(err):
		p.release(t, false)
		rep.Result, rep.Reason = ResultNotRun, tier.ReasonLost
	default:
		rep.Died = o.handleBroken(ctx, p)
		p.release(t, false)
		rep.fail(tier.ReasonLost)
	}
}

// reject ends a sub-request whose answer is malformed or truncated.
func (o *Owner) reject(p *Pool, t *Ticket, id tier.RequestID, rep *Reply) {
	p.release(t, false)
	rep.fail(tier.ReasonTruncated)
	o.OnRejected(p.server.Server, id, tier.ReasonTruncated)
}

// handleSilence reports a silent connection and closes the idle ones: if the state of one
// connection was lost, the state of the others may be lost too.
func (o *Owner) handleSilence(p *Pool, id tier.RequestID) {
	p.transport.closeIdle(false)
	o.OnSilent(p.server.Server, id)
}

// handleBroken reports whether the server has died, and calls OnDeath once per instance.
func (o *Owner) handleBroken(ctx context.Context, p *Pool) bool {
	dead, first, fingerprints := p.checkDeath(ctx)
	if first {
		o.OnDeath(Death{Server: p.server, Fingerprints: fingerprints})
	}
	return dead
}

// neverReached reports whether err shows that the request cannot have reached the server.
func neverReached(err error) bool {
	var h *handshakeError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &h)
}
