package reqst

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// serverDied handles the death of a server during a shard's sub-request. The query may
// have caused it, so the shard is not retried at once. A second death, the death of the
// canary's server, or that of the only shard's server fails the query.
func (p *Plan) serverDied(now time.Duration, shard int) {
	p.deaths++
	if p.deaths > 1 || p.canary == shard || len(p.parts) == 1 {
		p.failOpenShards(tier.ReasonQuarantine)
		return
	}
	p.parts[shard].held = true
	p.retryHeld(now)
}

// retryHeld retries the held shard after the only death so far, once all other shards have
// answered or are missing: a query that ten other servers survived did not kill that one.
func (p *Plan) retryHeld(now time.Duration) {
	if p.deaths != 1 || p.finished {
		return
	}
	held := -1
	for i := range p.parts {
		pt := &p.parts[i]
		switch {
		case pt.held && !pt.done:
			held = i
		case !pt.done && !pt.missing:
			return
		}
	}
	if held < 0 {
		return
	}
	p.parts[held].held = false
	p.deaths = 0
	p.actions = append(p.actions, Action{Kind: ActClear})
	p.wake = p.nextDue()
	if p.parts[held].open > 0 {
		return
	}
	if !p.send(now, held, false, false) {
		p.markMissing(held, tier.ReasonLost)
	}
}

// failOpenShards marks all unanswered shards as missing and cancels their attempts.
func (p *Plan) failOpenShards(why tier.Reason) {
	for i := range p.parts {
		if !p.parts[i].done && !p.parts[i].missing {
			p.cancelOthers(i, false)
			p.markMissing(i, why)
		}
	}
}

// Deaths reports whether the query failed because servers died.
func (p *Plan) Deaths() bool { return p.deaths > 0 }
