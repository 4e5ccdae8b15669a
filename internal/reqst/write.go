package reqst

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// commandTimeout limits a command that no caller waits for.
	commandTimeout = 10 * time.Second
	// recordTimeout limits the recording of an outcome before the caller is answered.
	recordTimeout = time.Second
	// minPoll and maxPoll limit the interval between polls of a pending claim.
	minPoll = 20 * time.Millisecond
	maxPoll = 320 * time.Millisecond
	// openTimeout limits the opening of a stream to an owner, so that an unreachable one
	// leaves time for another server.
	openTimeout = 300 * time.Millisecond
	// maxWriteServers is how many servers are tried for a write that none has run.
	maxWriteServers = 8
	// MaxKeyBytes is the maximum length of a write's key, in bytes.
	MaxKeyBytes = 256
)

// ReasonKeyExpired means that a key's record has expired, so that it is unknown whether
// its write ran.
const ReasonKeyExpired tier.Reason = "key_expired"

// Write runs a write at most once.
func (e *Engine) Write(ctx context.Context, a tier.Account, w tier.WriteRequest) tier.WriteAnswer {
	e.open.Add(1)
	defer e.open.Add(-1)
	began := e.Clock.Now()
	id := e.NewID()
	ans := e.write(ctx, began, id, a, w)
	ans.RequestID = id
	if ans.Outcome != tier.Done && ans.RetryAfterMs == 0 {
		ans.RetryAfterMs = tier.ToMillis(minRetryAfter)
	}
	e.Stats.Request(a, e.serviceLabel(w.Service), tier.ClassNormal, ans.Outcome, ans.Reason, e.Clock.Now()-began)
	return ans
}

func (e *Engine) write(ctx context.Context, now time.Duration, id tier.RequestID, a tier.Account, w tier.WriteRequest) tier.WriteAnswer {
	r := &runner{
		engine: e, id: id, write: w, fingerprint: Fingerprint(w.Service, w.Body),
		key:      store.WriteKey{Account: a, Service: w.Service, Key: w.Key},
		claim:    tier.ClaimID(id),
		deadline: now + e.allowedTime(w.DeadlineMs, w.Service, a),
	}
	if why := e.Fleet.RefusalReason(); why != tier.ReasonNone {
		return r.unclaimedAnswer(why)
	}
	return r.run(ctx)
}

// runner is the state of one write.
type runner struct {
	engine      *Engine
	id          tier.RequestID
	write       tier.WriteRequest
	fingerprint tier.Fingerprint
	key         store.WriteKey
	claim       tier.ClaimID
	deadline    time.Duration
	overload    bool
	pendingSeen bool
}

func (r *runner) run(ctx context.Context) tier.WriteAnswer {
	for poll := minPoll; ; poll = min(2*poll, maxPoll) {
		res, err := r.proposeClaim(ctx)
		if err != nil {
			// Nothing was sent, and nothing will be, since this attempt ends here.
			r.recordAsync(store.Record{Outcome: tier.NotRun, Reason: tier.ReasonNoControl})
			return r.unclaimedAnswer(tier.ReasonNoControl)
		}
		switch res.Status {
		case store.ClaimGranted:
			return r.runGranted(ctx)
		case store.ClaimRecorded:
			return replayedAnswer(res.Record)
		case store.ClaimConflict:
			return tier.WriteAnswer{Outcome: tier.NotRun, Reason: tier.ReasonConflict}
		case store.ClaimExpired:
			return tier.WriteAnswer{Outcome: tier.Unknown, Reason: ReasonKeyExpired}
		case store.ClaimPending:
		}
		r.pendingSeen = true
		if r.holderGone(res) || !r.pause(ctx, poll) {
			return tier.WriteAnswer{Outcome: tier.Unknown, Reason: tier.ReasonPending}
		}
	}
}

// unclaimedAnswer is the answer if the key could not be claimed. An earlier request with
// the key may have run, unless the caller says that there was none.
func (r *runner) unclaimedAnswer(why tier.Reason) tier.WriteAnswer {
	if r.write.FirstSend && !r.pendingSeen {
		return tier.WriteAnswer{Outcome: tier.NotRun, Reason: why}
	}
	return tier.WriteAnswer{Outcome: tier.Unknown, Reason: why}
}

// runGranted runs the write unless admission control or quarantine refuses it. The key is
// already claimed, so that a refusal is known to be the key's only attempt.
func (r *runner) runGranted(ctx context.Context) tier.WriteAnswer {
	e := r.engine
	began := e.Clock.Now()
	if hold, _ := e.quarantined(r.fingerprint); hold > 0 {
		return r.refuse(ctx, tier.ReasonQuarantine, hold)
	}
	if why, after := e.admit(began, r.key.Account, r.write.Service, 0); why != tier.ReasonNone {
		return r.refuse(ctx, why, after)
	}
	ans := r.dispatch(ctx)
	end := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Gate.Release(end, r.key.Account, r.write.Service, end-began, 0, time.Hour, r.overload)
	return ans
}

func (r *runner) refuse(ctx context.Context, why tier.Reason, after time.Duration) tier.WriteAnswer {
	ans := r.finish(context.WithoutCancel(ctx), store.Record{Outcome: tier.NotRun, Reason: why})
	ans.RetryAfterMs = tier.ToMillis(after)
	return ans
}

// proposeClaim proposes the claim, within the remaining time.
func (r *runner) proposeClaim(ctx context.Context) (store.ClaimResult, error) {
	e := r.engine
	ctx, cancel := context.WithTimeout(ctx, r.deadline-e.Clock.Now())
	defer cancel()
	c := &store.Claim{ID: r.claim, Key: r.key, Fingerprint: r.fingerprint, Holder: e.Self, Instance: e.Instance, First: r.write.FirstSend}
	res, err := e.Propose.Propose(ctx, store.Command{Claim: c})
	if err != nil {
		return store.ClaimResult{}, err
	}
	if res.Claim == nil {
		return store.ClaimResult{}, tier.ErrNoControl
	}
	return *res.Claim, nil
}

// pause waits before the next poll; it returns false if the deadline would pass or ctx
// ends.
func (r *runner) pause(ctx context.Context, d time.Duration) bool {
	if r.engine.Clock.Now()+d >= r.deadline {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// holderGone reports whether the holder of a pending claim is gone, so that waiting is
// useless.
func (r *runner) holderGone(res store.ClaimResult) bool {
	return res.Holder != "" && !r.engine.Fleet.Alive(res.Holder, res.Instance)
}

func replayedAnswer(rec *store.Record) tier.WriteAnswer {
	return tier.WriteAnswer{Outcome: rec.Outcome, Reason: rec.Reason, Server: rec.Server, Data: rec.Data, Replayed: true}
}

// dispatch sends the write to one server, and to another one only if the previous server
// provably did not run it. It continues if the caller goes away.
func (r *runner) dispatch(ctx context.Context) tier.WriteAnswer {
	ctx = context.WithoutCancel(ctx)
	rec := store.Record{Outcome: tier.NotRun, Reason: tier.ReasonNoServer}
	untried := append([]tier.Candidate(nil), r.engine.Fleet.Catalog().Unindexed(r.write.Service)...)
	for try := 0; try < maxWriteServers && len(untried) > 0; try++ {
		i := r.pickServer(untried)
		id := untried[i].Server
		untried = append(untried[:i], untried[i+1:]...)
		rep := r.send(ctx, id)
		rec = recordOf(rep)
		if rep.Result != conn.ResultNotRun || r.engine.Clock.Now() >= r.deadline {
			break
		}
	}
	return r.finish(ctx, rec)
}

func (r *runner) pickServer(list []tier.Candidate) int {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := e.Board.Pick(e.Clock.Now(), r.write.Service, 0, list); i >= 0 {
		return i
	}
	return rand.IntN(len(list))
}

func recordOf(rep conn.Reply) store.Record {
	switch rep.Result {
	case conn.ResultDone:
		return store.Record{Outcome: tier.Done, Server: rep.Server, Data: rep.Data}
	case conn.ResultNotRun:
		return store.Record{Outcome: tier.NotRun, Reason: rep.Reason}
	case conn.ResultFailed:
	}
	return store.Record{Outcome: tier.Unknown, Reason: rep.Reason, Server: rep.Server}
}

// send sends the write to the owner of the server and records the result on the board.
func (r *runner) send(ctx context.Context, id tier.ServerID) conn.Reply {
	e := r.engine
	w := &conn.Write{Request: r.id, Service: r.write.Service, Claim: r.claim, Fingerprint: r.fingerprint, Server: id, Body: r.write.Body}
	now := e.Clock.Now()
	e.mu.Lock()
	e.Board.Sent(id)
	e.mu.Unlock()
	rep := r.sendTo(ctx, w)
	r.observe(now, id, rep)
	return rep
}

func (r *runner) sendTo(ctx context.Context, w *conn.Write) conn.Reply {
	e := r.engine
	rep := conn.Reply{Server: w.Server, Result: conn.ResultNotRun, Reason: tier.ReasonNoOwner}
	peer, ok := e.Fleet.OwnerOf(w.Server)
	if !ok {
		return rep
	}
	if peer.Node == e.Self {
		return e.Owner.Write(ctx, w, r.deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, r.deadline-e.Clock.Now()+ownerSlack)
	defer cancel()
	octx, done := context.WithTimeout(ctx, openTimeout)
	s, err := e.Mesh.Open(octx, peer, conn.KindWrite)
	done()
	if err != nil {
		return rep
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	w.DeadlineMs = tier.ToMillis(r.deadline - e.Clock.Now())
	lost := conn.Reply{Server: w.Server, Result: conn.ResultFailed, Reason: tier.ReasonLost}
	if s.Send(w) != nil || s.Recv(&rep) != nil {
		return lost
	}
	return rep
}

func (r *runner) observe(sent time.Duration, id tier.ServerID, rep conn.Reply) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	switch {
	case rep.Result == conn.ResultDone:
		e.Board.Succeeded(now, id, now-sent, 0)
	case rep.Reason == tier.ReasonLost:
		e.Board.Lost(now, id)
	default:
		r.overload = r.overload || rep.Reason == tier.ReasonOverload
		e.Board.Ended(id)
	}
}

// finish records the outcome before it is returned to the caller. If recording fails or
// times out, the caller still gets the true outcome, and recording is retried in the
// background.
func (r *runner) finish(ctx context.Context, rec store.Record) tier.WriteAnswer {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	rec.ID, rec.Key = r.claim, r.key
	if rec.Outcome == tier.Unknown {
		event.WriteUnknown.Log(r.engine.Log, nil, logrus.Fields{"account": r.key.Account, "service": r.key.Service, "claim": r.claim, "server": rec.Server, "reason": rec.Reason})
	}
	if _, err := r.engine.Propose.Propose(ctx, store.Command{Record: &rec}); err != nil {
		event.RecordFailed.Log(r.engine.Log, err, logrus.Fields{"claim": r.claim})
		r.recordAsync(rec)
	}
	return tier.WriteAnswer{Outcome: rec.Outcome, Reason: rec.Reason, Server: rec.Server, Data: rec.Data}
}

func (r *runner) recordAsync(rec store.Record) {
	rec.ID, rec.Key = r.claim, r.key
	e := r.engine
	e.Workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		_, _ = e.Propose.Propose(ctx, store.Command{Record: &rec})
	})
}

// ServeWrite handles a write stream from another node.
func (e *Engine) ServeWrite(ctx context.Context, s *conn.Stream) {
	var w conn.Write
	if s.Recv(&w) != nil {
		return
	}
	e.open.Add(1)
	defer e.open.Add(-1)
	_ = s.Send(e.Owner.Write(ctx, &w, e.Clock.Now()+w.DeadlineMs.Duration()))
}
