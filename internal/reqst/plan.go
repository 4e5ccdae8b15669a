package reqst

import (
	"encoding/json"
	"slices"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// PlanOptions are the configured values and signals that control a plan.
type PlanOptions struct {
	// HedgeDelay is the time after which a sub-request may be hedged; 0 disables hedging.
	HedgeDelay time.Duration
	// Timeout is the time without a reply after which a sub-request counts as lost.
	Timeout time.Duration
	// Deadline is when the query must be answered.
	Deadline time.Duration
	// Suspect makes the plan send one sub-request alone, as a canary, before all others.
	Suspect bool
	// MaxAttempts is the maximum number of attempts for one shard, not counting those that
	// did not run; 0 is unlimited.
	MaxAttempts int
	// MinShards is the minimum number of shards in an answer; 0 allows a partial answer with
	// any number of shards missing.
	MinShards int
	// PartialFrom is the time from which an answer with MinShards shards is returned without
	// waiting for the rest; 0 disables this.
	PartialFrom time.Duration
	// NonIdempotent allows a retry only if the previous attempt did not run.
	NonIdempotent bool
	// RefusedBackoff is the delay before the servers of a shard are retried after all of them
	// refused; it doubles each time. 0 disables these retries.
	RefusedBackoff time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions: send a sub-request, cancel one, clear the suspicion against the query,
// and finish.
const (
	ActSend ActionKind = iota + 1
	ActCancel
	ActClear
	ActFinish
)

// Cause is the reason for cancelling a sub-request.
type Cause uint8

// Causes of a cancellation: none in particular, a hedge answered first, or the sub-request
// timed out.
const (
	CauseNone Cause = iota
	CauseHedgeWon
	CauseTimeout
)

// Action is an instruction to the caller of the plan. ActSend sets all fields but Cause;
// ActCancel sets Attempt, Shard, Server and Cause.
type Action struct {
	Kind    ActionKind
	Attempt int
	Shard   tier.Shard
	Server  tier.ServerID
	Solo    bool
	Hedge   bool
	// Repeat is set if the shard has been sent before, hedges included.
	Repeat bool
	// Careful requires a connection that the server is known to have accepted.
	Careful bool
	Cause   Cause
}

// attempt is one sub-request sent to a server.
type attempt struct {
	shard  int
	server tier.ServerID
	sent   time.Duration
	hedge  bool
	open   bool
	// notRun is set if the server has certainly not run it.
	notRun bool
}

// part is the state of one shard.
type part struct {
	done    bool
	held    bool
	missing bool
	sent    bool
	reason  tier.Reason
	open    int
	sentAt  time.Duration
	hedgeAt time.Duration
	hedges  int
	shed    bool
	tried   []tier.ServerID
	// counted is the number of attempts that may have run.
	counted int
	// retryAt is when the refusing servers are retried, retryRounds the number of such
	// retries so far.
	retryAt     time.Duration
	retryRounds int
	// careful is set once a server has reset a new connection at once. Whether that server
	// ran the part is unknown; later attempts must use connections known to be accepted, so
	// that none adds to this uncertainty.
	careful   bool
	server    tier.ServerID
	data      json.RawMessage
	signature string
}

// Unsafe disables safety mechanisms of a plan, for traces only.
type Unsafe struct {
	// AnySnapshot merges answers from any snapshot.
	AnySnapshot bool
	// AnyReply accepts replies that do not match an open attempt.
	AnyReply bool
	// RetryDeaths retries immediately after a server's death.
	RetryDeaths bool
}

// Plan decides the sub-requests of one query against one snapshot. It is a state machine:
// events and the current time go in, actions come out.
type Plan struct {
	// Layout is the pinned snapshot.
	Layout *vers.Layout
	// Options controls the plan.
	Options PlanOptions
	// Select returns the index of the server to send to, or a negative number for none.
	Select func(now time.Duration, shard tier.Shard, list []tier.Candidate) int
	// Hedge decides whether to hedge a sub-request that has waited for the given time, and if
	// so spends one extra sub-request from the budget.
	Hedge func(now time.Duration, shard int, waited time.Duration) bool
	// Retry spends one extra sub-request from the budget; it returns false if none is left.
	Retry func(shard int) bool
	// Current, if not nil, returns the servers of a shard that accept requests now, in place of those of
	// the snapshot: servers drain and others start while a query waits.
	Current func(shard int) []tier.Candidate
	// Unsafe disables mechanisms, for traces that show what they prevent.
	Unsafe Unsafe

	parts          []part
	attempts       []attempt
	missing        int
	done           int
	deaths         int
	canary         int
	finished       bool
	partialAllowed bool
	overload       bool
	ran            bool
	queued         time.Duration
	wake           time.Duration
	actions        []Action
	untriedBuf     []tier.Candidate
}

// Start sends the first sub-requests.
func (p *Plan) Start(now time.Duration) []Action {
	p.parts = make([]part, len(p.Layout.Shards))
	p.attempts = make([]attempt, 0, len(p.parts)+len(p.parts)/8+1)
	p.actions = make([]Action, 0, len(p.parts)+1)
	p.canary = -1
	p.wake = p.Options.Deadline
	if p.Options.PartialFrom > 0 {
		p.wake = min(p.wake, p.Options.PartialFrom)
	}
	if p.Options.Suspect {
		p.startCanary(now)
		return p.takeActions()
	}
	p.startRest(now)
	return p.takeActions()
}

// startCanary sends only the first shard that has a server.
func (p *Plan) startCanary(now time.Duration) {
	for i := range p.parts {
		if len(p.Layout.Shards[i]) > 0 {
			p.canary = i
			p.send(now, i, false, true)
			return
		}
	}
	p.startRest(now)
}

func (p *Plan) startRest(now time.Duration) {
	for i := range p.parts {
		if p.parts[i].done || p.parts[i].open > 0 || p.parts[i].missing {
			continue
		}
		if !p.send(now, i, false, false) {
			p.markMissing(i, tier.ReasonNoServer)
		}
	}
	p.finishIfDone()
}

func (p *Plan) takeActions() []Action {
	a := p.actions
	p.actions = p.actions[len(p.actions):]
	return a
}

// send picks an untried server for a shard and sends to it; it returns false if there is
// none or the attempts are used up.
func (p *Plan) send(now time.Duration, shard int, hedge, solo bool) bool {
	pt := &p.parts[shard]
	if p.Options.MaxAttempts > 0 && pt.counted >= p.Options.MaxAttempts {
		return false
	}
	list := p.untried(shard)
	i := p.Select(now, tier.Shard(shard), list)
	if i < 0 {
		return false
	}
	id := list[i].Server
	repeat := pt.sent
	pt.sent = true
	pt.tried = append(pt.tried, id)
	pt.open++
	pt.counted++
	if !hedge {
		pt.sentAt, pt.hedgeAt = now, now+p.Options.HedgeDelay
	}
	p.scheduleWake(pt, now)
	p.attempts = append(p.attempts, attempt{shard: shard, server: id, sent: now, hedge: hedge, open: true})
	p.actions = append(p.actions, Action{Kind: ActSend, Attempt: len(p.attempts) - 1, Shard: tier.Shard(shard), Server: id, Solo: solo, Hedge: hedge, Repeat: repeat, Careful: pt.careful})
	return true
}

func (p *Plan) untried(shard int) []tier.Candidate {
	all := p.Layout.Shards[shard]
	if p.Current != nil {
		all = p.Current(shard)
	}
	tried := p.parts[shard].tried
	if len(tried) == 0 {
		return all
	}
	p.untriedBuf = p.untriedBuf[:0]
	for _, c := range all {
		if !slices.Contains(tried, c.Server) {
			p.untriedBuf = append(p.untriedBuf, c)
		}
	}
	return p.untriedBuf
}

// Reply handles a sub-request's reply. Late, duplicate and mismatched replies are ignored.
func (p *Plan) Reply(now time.Duration, r conn.Reply) []Action {
	if p.finished || r.Attempt < 0 || r.Attempt >= len(p.attempts) {
		return nil
	}
	a := &p.attempts[r.Attempt]
	fits := a.open && tier.Shard(a.shard) == r.Shard && a.server == r.Server
	if !fits && !p.Unsafe.AnyReply {
		return nil
	}
	a.open = false
	p.parts[a.shard].open--
	p.ran = p.ran || r.Result != conn.ResultNotRun
	if r.Result == conn.ResultNotRun {
		a.notRun = true
		p.parts[a.shard].counted--
	}
	p.queued = max(p.queued, time.Duration(r.QueuedUs)*time.Microsecond)
	if r.Result == conn.ResultDone && (r.Snapshot == p.Layout.Snapshot || p.Unsafe.AnySnapshot) {
		p.recordAnswer(now, r)
	} else {
		p.handleFailure(now, a.shard, r)
	}
	if p.partialAllowed && p.Covered() {
		p.failOpenShards(tier.ReasonDeadline)
	}
	p.finishIfDone()
	return p.takeActions()
}

func (p *Plan) recordAnswer(now time.Duration, r conn.Reply) {
	shard := p.attempts[r.Attempt].shard
	pt := &p.parts[shard]
	pt.done, pt.server, pt.data, pt.signature = true, r.Server, r.Data, r.Signature
	p.done++
	p.cancelOthers(shard, p.attempts[r.Attempt].hedge)
	if p.canary == shard {
		p.canary = -1
		p.actions = append(p.actions, Action{Kind: ActClear})
		p.startRest(now)
	}
	p.retryHeld(now)
}

func (p *Plan) cancelOthers(shard int, byHedge bool) {
	if p.parts[shard].open == 0 {
		return
	}
	for i := range p.attempts {
		a := &p.attempts[i]
		if a.open && a.shard == shard {
			a.open = false
			p.ran = true
			p.parts[shard].open--
			cause := CauseNone
			if byHedge && !a.hedge {
				cause = CauseHedgeWon
			}
			p.actions = append(p.actions, Action{Kind: ActCancel, Attempt: i, Shard: tier.Shard(shard), Server: a.server, Cause: cause})
		}
	}
}

// handleFailure handles a failed attempt: it retries the shard on another server if
// allowed, or marks it as missing.
func (p *Plan) handleFailure(now time.Duration, shard int, r conn.Reply) {
	pt := &p.parts[shard]
	pt.reason = r.Reason
	p.noteOverload(shard, r.Reason)
	if r.Died && !p.Unsafe.RetryDeaths {
		p.serverDied(now, shard)
		return
	}
	if pt.done || pt.held || pt.open > 0 {
		return
	}
	if p.Options.NonIdempotent && r.Result != conn.ResultNotRun {
		p.markMissing(shard, r.Reason)
		return
	}
	refused := r.Reason == tier.ReasonRefused
	pt.careful = pt.careful || refused
	paid := retryIsFree(r) || p.Retry(shard)
	if paid && p.send(now, shard, false, p.canary == shard) {
		return
	}
	if (!retryIsFree(r) && !refused) || !p.scheduleRetry(now, shard) {
		p.markMissing(shard, r.Reason)
	}
}

// noteOverload records that a shard was refused because of overload.
func (p *Plan) noteOverload(shard int, reason tier.Reason) {
	if reason == tier.ReasonOverload || reason == tier.ReasonShed {
		p.overload, p.parts[shard].shed = true, true
	}
}

// scheduleRetry schedules a retry of a shard's servers after a delay, where all of them
// refused or were unreachable; it returns false if no retry is possible.
func (p *Plan) scheduleRetry(now time.Duration, shard int) bool {
	pt := &p.parts[shard]
	if p.Options.RefusedBackoff == 0 || pt.retryRounds >= maxRetryRounds || (p.Options.MaxAttempts > 0 && pt.counted >= p.Options.MaxAttempts) {
		return false
	}
	pt.retryAt = now + p.Options.RefusedBackoff<<pt.retryRounds
	if pt.retryAt >= p.Options.Deadline {
		pt.retryAt = 0
		return false
	}
	pt.retryRounds++
	p.wake = min(p.wake, pt.retryAt)
	return true
}

// retryIsFree reports whether a retry costs servers nothing, because the failed attempt
// never reached a working server.
func retryIsFree(r conn.Reply) bool {
	switch r.Reason {
	case tier.ReasonDraining, tier.ReasonNoOwner, tier.ReasonVersion, tier.ReasonLost:
		return r.Result == conn.ResultNotRun
	default:
		return false
	}
}

func (p *Plan) markMissing(shard int, why tier.Reason) {
	pt := &p.parts[shard]
	if pt.missing || pt.done {
		return
	}
	pt.missing, pt.reason = true, why
	p.missing++
	if p.canary == shard {
		p.canary = -1
		for i := range p.parts {
			if !p.parts[i].done && !p.parts[i].missing {
				p.markMissing(i, why)
			}
		}
	}
}

func (p *Plan) finishIfDone() {
	if !p.finished && (p.done+p.missing == len(p.parts) || p.tooManyMissing()) {
		p.finished = true
		if p.missing == 0 && p.deaths > 0 {
			p.actions = append(p.actions, Action{Kind: ActClear})
		}
		p.actions = append(p.actions, Action{Kind: ActFinish})
	}
}

// tooManyMissing reports whether too many shards are missing for an answer.
func (p *Plan) tooManyMissing() bool {
	return p.Options.MinShards > 0 && len(p.parts)-p.missing < p.Options.MinShards
}

// Covered reports whether the answer has the required number of shards.
func (p *Plan) Covered() bool { return p.done > 0 && p.done >= p.Options.MinShards }

// Ran reports whether a server may have run a part. Once the plan has finished, that includes the
// servers that have not answered: they may run it yet.
func (p *Plan) Ran() bool {
	return p.ran || (p.finished && slices.ContainsFunc(p.attempts, func(a attempt) bool { return a.open }))
}

// Sent reports whether a sub-request was sent to a server.
func (p *Plan) Sent() bool { return len(p.attempts) > 0 }

// Used returns the greatest number of servers of one shard that may have run their part. If except is not nil, attempts for
// which it returns true do not count: it gets the server and the time at which the sub-request was sent.
func (p *Plan) Used(except func(id tier.ServerID, sent time.Duration) bool) (most int) {
	if except == nil {
		for i := range p.parts {
			most = max(most, p.parts[i].counted)
		}
		return most
	}
	used := make([]int, len(p.parts))
	for i := range p.attempts {
		if a := &p.attempts[i]; !a.notRun && !except(a.server, a.sent) {
			used[a.shard]++
			most = max(most, used[a.shard])
		}
	}
	return most
}

// CoveredParts returns the signatures and data of the answered shards, in shard order, and
// the number of unanswered ones.
func (p *Plan) CoveredParts() (signatures []string, data [][]byte, missing int) {
	for i := range p.parts {
		if pt := &p.parts[i]; pt.done {
			signatures, data = append(signatures, pt.signature), append(data, pt.data)
		}
	}
	return signatures, data, len(p.parts) - len(signatures)
}

// Counts returns the number of answered and unanswered parts, and of hedges sent.
func (p *Plan) Counts() (done, missing, hedges int) {
	for i := range p.parts {
		hedges += p.parts[i].hedges
	}
	return p.done, len(p.parts) - p.done, hedges
}

// Hedged reports whether an attempt is a hedge.
func (p *Plan) Hedged(attempt int) bool {
	return attempt >= 0 && attempt < len(p.attempts) && p.attempts[attempt].hedge
}

// Finished reports whether the answer is ready.
func (p *Plan) Finished() bool { return p.finished }

// Overloaded reports whether a server or owner refused a part because of overload.
func (p *Plan) Overloaded() bool { return p.overload }

// Queued returns the longest time that a part waited in an owner's queue.
func (p *Plan) Queued() time.Duration { return p.queued }

// Answer returns the answer with its coverage.
func (p *Plan) Answer() tier.QueryAnswer {
	a := tier.QueryAnswer{Snapshot: p.Layout.Snapshot, Shards: make([]tier.ShardAnswer, 0, p.done), Missing: []tier.MissingShard{}}
	for i := range p.parts {
		pt := &p.parts[i]
		if pt.done {
			a.Shards = append(a.Shards, tier.ShardAnswer{Shard: tier.Shard(i), Server: pt.server, Data: pt.data})
			continue
		}
		a.Missing = append(a.Missing, tier.MissingShard{Shard: tier.Shard(i), Reason: pt.reason})
	}
	a.Outcome = tier.Done
	if len(a.Missing) > 0 {
		a.Outcome, a.Reason = tier.Partial, a.Missing[0].Reason
	}
	if !p.Ran() {
		a.Outcome = tier.NotRun
	}
	return a
}

// Abort ends a query whose caller is gone.
func (p *Plan) Abort() {
	p.failOpenShards(tier.ReasonCanceled)
	p.finished = true
}
