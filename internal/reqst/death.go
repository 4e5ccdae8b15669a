package reqst

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// died holds a shard whose server died: the query may be what killed it.
func (p *Plan) died(now time.Duration, shard int) {
	p.deaths++
	if p.deaths > 1 || p.canary == shard || len(p.parts) == 1 {
		p.giveUp(tier.ReasonQuarantine)
		return
	}
	p.parts[shard].held = true
	p.retryHeld(now)
}

// retryHeld retries the shard of the only death once all other shards have
// answered: a query that ten other servers survived did not kill that one.
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
	p.acts = append(p.acts, Action{Kind: ActClear})
	p.wake = p.nextDue()
	if p.parts[held].open > 0 {
		return
	}
	if !p.send(now, held, false, false) {
		p.miss(held, tier.ReasonLost)
	}
}

// giveUp ends the query at once.
func (p *Plan) giveUp(why tier.Reason) {
	for i := range p.parts {
		if !p.parts[i].done && !p.parts[i].missing {
			p.cancelOthers(i, false)
			p.miss(i, why)
		}
	}
}

// Deaths reports whether the query was given up because servers died.
func (p *Plan) Deaths() bool { return p.deaths > 0 }
