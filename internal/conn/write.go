package conn

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

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
	a, err := p.transport.post(wctx, WritePath, h, w.Body)
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
