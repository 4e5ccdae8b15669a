package reqst

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// maxHedges is the maximum number of hedges of one sub-request: the first may meet a
// straggler too.
const maxHedges = 2

// maxRetryRounds is the maximum number of times that the refusing servers of a shard are
// retried.
const maxRetryRounds = 4

// hedgeRecheckDivisor divides the hedge delay into the interval after which a declined
// hedge is considered again.
const hedgeRecheckDivisor = 4

// Next returns when Tick must be called next. It may be too early, because replies do not
// postpone it, but never too late.
func (p *Plan) Next() time.Duration { return p.wake }

// scheduleWake makes the next Tick earlier if the hedge time or the timeout of an attempt that
// was just sent comes before it.
func (p *Plan) scheduleWake(pt *part, sent time.Duration) {
	p.wake = min(p.wake, sent+p.Options.Timeout)
	if p.Options.HedgeDelay > 0 {
		p.wake = min(p.wake, pt.hedgeAt)
	}
}

// nextDue returns the earliest time at which anything is due: a deadline, timeout, retry
// or hedge.
func (p *Plan) nextDue() time.Duration {
	next := p.Options.Deadline
	if p.Options.PartialFrom > 0 && p.done < len(p.parts) && !p.partialAllowed {
		next = min(next, p.Options.PartialFrom)
	}
	for i := range p.attempts {
		if a := &p.attempts[i]; a.open {
			next = min(next, a.sent+p.Options.Timeout)
		}
	}
	for i := range p.parts {
		if pt := &p.parts[i]; pt.retryAt > 0 && !pt.done && !pt.missing {
			next = min(next, pt.retryAt)
		}
	}
	if !p.mayHedge() {
		return next
	}
	for i := range p.parts {
		if pt := &p.parts[i]; pt.hedgeable() {
			next = min(next, pt.hedgeAt)
		}
	}
	return next
}

func (p *Plan) mayHedge() bool {
	return p.Options.HedgeDelay > 0 && p.deaths == 0 && p.canary < 0
}

// Tick hedges slow sub-requests, times out silent ones, retries refused ones and enforces
// the deadline.
func (p *Plan) Tick(now time.Duration) []Action {
	if p.finished {
		return nil
	}
	if now >= p.Options.Deadline {
		p.failOpenShards(tier.ReasonDeadline)
		p.finishIfDone()
		return p.takeActions()
	}
	if p.partialDue(now) {
		p.failOpenShards(tier.ReasonDeadline)
		p.finishIfDone()
		return p.takeActions()
	}
	p.timeOutAttempts(now)
	p.retryRefused(now)
	if p.mayHedge() {
		p.sendHedges(now)
	}
	p.finishIfDone()
	p.wake = p.nextDue()
	return p.takeActions()
}

// retryRefused retries shards whose backoff has passed.
func (p *Plan) retryRefused(now time.Duration) {
	for i := range p.parts {
		pt := &p.parts[i]
		if pt.retryAt == 0 || now < pt.retryAt || pt.done || pt.missing {
			continue
		}
		pt.retryAt, pt.tried = 0, nil
		if !p.send(now, i, false, p.canary == i) {
			p.markMissing(i, tier.ReasonNoServer)
		}
	}
}

// partialDue reports whether a partial answer is to be returned now. After PartialFrom,
// the first reply that completes MinShards also ends the query.
func (p *Plan) partialDue(now time.Duration) bool {
	if p.Options.PartialFrom == 0 || now < p.Options.PartialFrom {
		return false
	}
	p.partialAllowed = true
	return p.Covered()
}

func (p *Plan) timeOutAttempts(now time.Duration) {
	for i := range p.attempts {
		a := &p.attempts[i]
		if !a.open || now < a.sent+p.Options.Timeout {
			continue
		}
		a.open = false
		p.ran = true
		p.parts[a.shard].open--
		p.actions = append(p.actions, Action{Kind: ActCancel, Attempt: i, Shard: tier.Shard(a.shard), Server: a.server, Cause: CauseTimeout})
		p.handleFailure(now, a.shard, conn.Reply{Reason: tier.ReasonLost})
	}
}

// hedgeable reports whether a part may be hedged now or later. A part that a server has
// shed is not, because its other servers are full as well.
func (pt *part) hedgeable() bool {
	return !pt.done && !pt.missing && !pt.shed && pt.hedges < maxHedges && pt.open > 0
}

func (p *Plan) sendHedges(now time.Duration) {
	for i := range p.parts {
		pt := &p.parts[i]
		if !pt.hedgeable() || now < pt.hedgeAt {
			continue
		}
		if len(p.untried(i)) == 0 || (p.Options.MaxAttempts > 0 && pt.counted >= p.Options.MaxAttempts) {
			pt.hedges = maxHedges
			continue
		}
		pt.hedgeAt = now + max(p.Options.HedgeDelay/hedgeRecheckDivisor, time.Millisecond)
		if !p.Hedge(now, i, now-pt.sentAt) {
			continue
		}
		pt.hedges++
		pt.hedgeAt = now + p.Options.HedgeDelay
		p.send(now, i, true, false)
	}
}
