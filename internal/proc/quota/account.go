package quota

import (
	"math"
	"slices"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// account is what the host knows of one tenant.
type account struct {
	tenant  tier.Tenant
	tokens  []batch
	waiters []waiter
	// calls are those without an answer yet.
	calls []*call
	// asked are the voters that were asked since the last request got a token.
	asked map[tier.NodeID]bool
	// empty holds the voters without tokens.
	empty map[tier.NodeID]shortage
	// short is set once a voter had too few tokens for the waiters.
	short bool
	// demand is the number of requests per second at demandAt.
	demand   float64
	demandAt time.Duration
}

// newRound lets all voters be asked again, once no request waits.
func (a *account) newRound() {
	clear(a.asked)
	a.short = false
}

// awaiting reports whether a call may still be answered in time.
func (a *account) awaiting() bool {
	return slices.ContainsFunc(a.calls, func(c *call) bool { return !c.slow })
}

// add puts tokens into the pool, in order of their expiry.
func (a *account) add(now time.Duration, b batch) {
	if now >= b.Expires {
		return
	}
	i, _ := slices.BinarySearchFunc(a.tokens, b, func(x, y batch) int { return int(x.Expires - y.Expires) })
	a.tokens = slices.Insert(a.tokens, i, b)
}

// expire drops tokens and statements that do not count any more.
func (a *account) expire(now time.Duration) {
	for len(a.tokens) > 0 && now >= a.tokens[0].Expires {
		a.tokens = slices.Delete(a.tokens, 0, 1)
	}
	for id, e := range a.empty {
		if now >= e.ask {
			delete(a.empty, id)
			delete(a.asked, id)
		}
	}
}

// refusal is the outcome for a waiter if there is no token: the quota is exhausted if a voter said so.
func (a *account) refusal(now time.Duration) Outcome {
	if len(a.empty) == 0 && !a.short {
		return Outcome{RetryAfter: unansweredRetryAfter}
	}
	wait := maxWait
	if len(a.empty) == 0 {
		wait = minRetryAfter
	}
	for _, e := range a.empty {
		wait = min(wait, e.next-now)
	}
	return Outcome{Known: true, RetryAfter: max(wait, minRetryAfter)}
}

func (a *account) held() (tokens int) {
	for _, b := range a.tokens {
		tokens += b.count
	}
	return tokens
}

func (a *account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandPeriod.Seconds())
}
