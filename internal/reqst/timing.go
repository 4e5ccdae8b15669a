package reqst

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// mostHedges bounds the hedges of one sub-query: the first may meet a straggler too.
const mostHedges = 2

// mostRounds bounds how often the servers of a shard are asked once more.
const mostRounds = 4

// hedgeSteps is into how many parts the hedge delay falls for asking again
// after a hedge was put off.
const hedgeSteps = 4

// Next returns when Tick must be called next. It may be earlier than anything
// is due, since replies do not put it off; it is never later.
func (p *Plan) Next() time.Duration { return p.wake }

// wakeBy has Tick called by the time at which an attempt just sent is hedged or given up.
func (p *Plan) wakeBy(pt *part, sent time.Duration) {
	p.wake = min(p.wake, sent+p.Terms.Timeout)
	if p.Terms.HedgeDelay > 0 {
		p.wake = min(p.wake, pt.hedgeAt)
	}
}

// nextDue looks through all that is open for what is due first.
func (p *Plan) nextDue() time.Duration {
	next := p.Terms.Deadline
	if p.Terms.Settle > 0 && p.done < len(p.parts) && !p.settled {
		next = min(next, p.Terms.Settle)
	}
	for i := range p.attempts {
		if a := &p.attempts[i]; a.open {
			next = min(next, a.sent+p.Terms.Timeout)
		}
	}
	for i := range p.parts {
		if pt := &p.parts[i]; pt.againAt > 0 && !pt.done && !pt.missing {
			next = min(next, pt.againAt)
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
	return p.Terms.HedgeDelay > 0 && p.deaths == 0 && p.canary < 0
}

// Tick hedges slow sub-queries, gives up silent ones and keeps the deadline.
func (p *Plan) Tick(now time.Duration) []Action {
	if p.finished {
		return nil
	}
	if now >= p.Terms.Deadline {
		p.giveUp(tier.ReasonDeadline)
		p.settle()
		return p.take()
	}
	if p.settleDue(now) {
		p.giveUp(tier.ReasonDeadline)
		p.settle()
		return p.take()
	}
	p.timeouts(now)
	p.askAgain(now)
	if p.mayHedge() {
		p.hedges(now)
	}
	p.settle()
	p.wake = p.nextDue()
	return p.take()
}

// askAgain asks the servers of shards that have waited.
func (p *Plan) askAgain(now time.Duration) {
	for i := range p.parts {
		pt := &p.parts[i]
		if pt.againAt == 0 || now < pt.againAt || pt.done || pt.missing {
			continue
		}
		pt.againAt, pt.tried = 0, nil
		if !p.send(now, i, false, p.canary == i) {
			p.miss(i, tier.ReasonNoServer)
		}
	}
}

// settleDue reports whether it is time to answer without the shards that are
// still open; from then on the first reply that covers enough does so.
func (p *Plan) settleDue(now time.Duration) bool {
	if p.Terms.Settle == 0 || now < p.Terms.Settle {
		return false
	}
	p.settled = true
	return p.Covered()
}

func (p *Plan) timeouts(now time.Duration) {
	for i := range p.attempts {
		a := &p.attempts[i]
		if !a.open || now < a.sent+p.Terms.Timeout {
			continue
		}
		a.open = false
		p.ran = true
		p.parts[a.shard].open--
		p.acts = append(p.acts, Action{Kind: ActCancel, Attempt: i, Shard: tier.Shard(a.shard), Server: a.server, Cause: CauseSilent})
		p.lost(now, a.shard, conn.Reply{Reason: tier.ReasonLost})
	}
}

// hedgeable reports whether a part may be hedged now or later; one of which a
// server refused for want of room is not, since its others are full as well.
func (pt *part) hedgeable() bool {
	return !pt.done && !pt.missing && !pt.shed && pt.hedges < mostHedges && pt.open > 0
}

func (p *Plan) hedges(now time.Duration) {
	for i := range p.parts {
		pt := &p.parts[i]
		if !pt.hedgeable() || now < pt.hedgeAt {
			continue
		}
		if len(p.untried(i)) == 0 || (p.Terms.Attempts > 0 && pt.asked >= p.Terms.Attempts) {
			pt.hedges = mostHedges
			continue
		}
		pt.hedgeAt = now + max(p.Terms.HedgeDelay/hedgeSteps, time.Millisecond)
		if !p.Hedge(now, i, now-pt.sentAt) {
			continue
		}
		pt.hedges++
		pt.hedgeAt = now + p.Terms.HedgeDelay
		p.send(now, i, true, false)
	}
}
