package conn

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Write sends a write once. A write that has been sent is not cancelled when the caller
// disconnects.
func (o *Owner) Write(ctx context.Context, w *Write, deadline time.Duration) Reply {
	rep := Reply{Server: w.Server}
	p, reason := o.pool(w.Server)
	if p == nil {
		return rep.notRun(reason)
	}
	t := &Ticket{Deadline: deadline, Fingerprint: w.Fingerprint}
	if reason := p.acquire(ctx, t); reason != tier.ReasonNone {
		return rep.notRun(reason)
	}
	now := o.Clock.Now()
	if !o.MaySend(w.Server) || now >= deadline {
		p.release(t, false)
		return rep.notRun(tier.ReasonNoOwner)
	}
	o.write(ctx, p, t, w, &rep, deadline-now)
	return rep
}

func (o *Owner) write(ctx context.Context, p *Pool, t *Ticket, w *Write, rep *Reply, remaining time.Duration) {
	wctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining)
	defer cancel()
	h := http.Header{
		tier.HeaderRequestID: {o.sendingID(w.Request)},
		tier.HeaderClaim:     {string(w.Claim)},
		tier.HeaderDeadline:  {deadlineHeader(remaining)},
		"Content-Type":       {"application/json"},
	}
	a, err := p.transport.post(wctx, WritePath, h, w.Body)
	switch {
	case err == nil:
		p.release(t, a.status == http.StatusOK)
		applyWriteAnswer(h, a, rep)
		a.reservation.Release()
	case neverReached(err):
		p.release(t, false)
		rep.Result, rep.Reason = ResultNotRun, tier.ReasonLost
	case errors.Is(err, ErrNoRoom):
		p.release(t, false)
		rep.fail(tier.ReasonNoRoom)
	case errors.Is(err, errTruncated), errors.Is(err, ErrMalformed):
		rep.Died = o.handleBroken(wctx, p)
		o.reject(p, t, w.Request, rep)
	case errors.Is(err, context.DeadlineExceeded):
		p.releaseLater(t)
		rep.fail(tier.ReasonLost)
		o.handleSilence(p, w.Request)
	default:
		rep.Died = o.handleBroken(wctx, p)
		p.release(t, false)
		rep.fail(tier.ReasonLost)
	}
}

// applyWriteAnswer checks that an answer belongs to the write with the header sent, and stores the
// result in rep. A write counts as not run only if the server says so, or if nothing listens at its
// address.
func applyWriteAnswer(sent http.Header, a answer, rep *Reply) {
	switch {
	case a.header.Get(tier.HeaderRequestID) != sent.Get(tier.HeaderRequestID):
		rep.fail(tier.ReasonTruncated)
	case a.header.Get(tier.HeaderNotRun) != "":
		rep.Result, rep.Reason = ResultNotRun, tier.ReasonShed
	case a.status != http.StatusOK:
		rep.fail(tier.ReasonServerError)
	default:
		rep.Result, rep.Data = ResultDone, json.RawMessage(a.body)
	}
}
