package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// patience is how long a request waits for one voter before another is asked. Voters in other zones answer within 2 ms.
	patience = 20 * time.Millisecond
	// avoidSilent is how long a voter that did not answer in time is not asked.
	avoidSilent = time.Second
	// avoidAbsent is how long a voter that grants nothing at present is not asked: it may be without a leader for a moment.
	avoidAbsent = 200 * time.Millisecond
	// avoidNoVoter is how long a host that is no voter is not asked.
	avoidNoVoter = 5 * time.Second
	// avoidEmpty bounds how long a voter without tokens for a tenant is not asked for more: it states the wait for all hosts
	// that asked before, some of which will not ask again.
	avoidEmpty = time.Second
	// minRetryAfter is the shortest delay that refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	// unansweredRetryAfter is the delay that callers are told if no voter answered.
	unansweredRetryAfter = 300 * time.Millisecond
	// demandPeriod is the time constant of the measured demand.
	demandPeriod = time.Second
	// maxAhead bounds the tokens that a host keeps for requests to come.
	maxAhead = 32
	// forgetAfter is how long a tenant without requests is remembered.
	forgetAfter = 10 * time.Second
)

// Voter is a host that may be a voter of the control group.
type Voter struct {
	ID   tier.NodeID
	Zone tier.Zone
}

// Outcome is the result for a request that needs a token. Unless Granted is set, Known tells whether all voters that answered
// had no token, or none answered.
type Outcome struct {
	Granted    bool
	Known      bool
	Token      Token
	RetryAfter time.Duration
}

// Result is the outcome for one waiter.
type Result struct {
	Waiter  uint64
	Outcome Outcome
}

// Call is a request to send to a voter; its end must be reported with Reply or Fail.
type Call struct {
	ID      uint64
	Voter   tier.NodeID
	Request Request
}

// Effects are the calls to make and the outcomes to pass on after an event.
type Effects struct {
	Calls   []Call
	Results []Result
}

// Pool holds a host's tokens and decides which voter to ask for more.
type Pool struct {
	Limits Limits
	Self   tier.NodeID
	Zone   tier.Zone
	// Rand chooses among equal voters.
	Rand *rand.Rand

	voters   []*voter
	byID     map[tier.NodeID]*voter
	accounts map[tier.Tenant]*account
	calls    map[uint64]*call
	last     uint64
	swept    time.Duration
	eff      Effects
}

// voter is what the host knows of a voter.
type voter struct {
	Voter
	// absentUntil is when a voter that grants nothing may be asked again, avoidUntil one that did not answer in time. silent is
	// set from a call without an answer until the next answer.
	absentUntil, avoidUntil time.Duration
	silent                  bool
	near                    bool
}

// batch holds tokens of one grant.
type batch struct {
	Token
	count int
}

type waiter struct {
	id       uint64
	deadline time.Duration
}

type call struct {
	id      uint64
	account *account
	voter   tier.NodeID
	sent    time.Duration
	wanted  int
	slow    bool
}

// shortage is a voter's statement that it has no token: the host asks again at ask, a token is expected at next.
type shortage struct{ ask, next time.Duration }

// Start initializes the pool.
func (p *Pool) Start() {
	p.byID, p.accounts, p.calls = map[tier.NodeID]*voter{}, map[tier.Tenant]*account{}, map[uint64]*call{}
}

// SetVoters replaces the list of hosts that may be voters.
func (p *Pool) SetVoters(list []Voter) {
	old := p.byID
	p.byID, p.voters = make(map[tier.NodeID]*voter, len(list)), p.voters[:0]
	for _, x := range list {
		v := old[x.ID]
		if v == nil {
			v = &voter{}
		}
		v.Voter, v.near = x, x.Zone == p.Zone
		p.byID[x.ID] = v
		p.voters = append(p.voters, v)
	}
}

// Take asks for a token for a request that waits until deadline at most. The outcome is in these effects or in those of a
// later event.
func (p *Pool) Take(now time.Duration, t tier.Tenant, deadline time.Duration) (id uint64, eff Effects) {
	p.sweep(now)
	a := p.account(t)
	a.demand = a.demandNow(now) + 1/demandPeriod.Seconds()
	a.demandAt = now
	p.last++
	a.waiters = append(a.waiters, waiter{p.last, deadline})
	id = p.last
	return id, p.advance(now, a)
}

// Give puts a token back that was not used.
func (p *Pool) Give(now time.Duration, t tier.Tenant, token Token) Effects {
	a := p.account(t)
	a.add(now, batch{token, 1})
	return p.advance(now, a)
}

// Cancel drops a waiter whose request has ended.
func (p *Pool) Cancel(t tier.Tenant, id uint64) {
	if a := p.accounts[t]; a != nil {
		a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.id == id })
	}
}

// Reply handles the answer to a call.
func (p *Pool) Reply(now time.Duration, id uint64, r Reply) Effects {
	c := p.end(id)
	if c == nil {
		return Effects{}
	}
	a, v := c.account, p.byID[c.voter]
	if v != nil {
		v.answered(now, c, r)
	}
	if r.Granted > 0 {
		a.add(now, batch{Token{c.voter, r.Grant, c.sent + p.Limits.Life()}, min(r.Granted, c.wanted)})
	}
	switch wait := r.WaitMs.Duration(); {
	case r.Absent:
	case r.Granted >= c.wanted:
		delete(a.asked, c.voter)
		delete(a.empty, c.voter)
	default:
		a.empty[c.voter], a.short = shortage{now + min(wait, avoidEmpty), now + wait}, true
	}
	return p.advance(now, a)
}

func (v *voter) answered(now time.Duration, c *call, r Reply) {
	v.silent = false
	switch {
	case r.NoVoter:
		v.absentUntil = now + avoidNoVoter
	case r.Absent:
		v.absentUntil = now + avoidAbsent
	case !c.slow:
		v.avoidUntil = 0
	}
}

// Fail handles a call without an answer.
func (p *Pool) Fail(now time.Duration, id uint64) Effects {
	c := p.end(id)
	if c == nil {
		return Effects{}
	}
	p.markSilent(now, c.voter)
	return p.advance(now, c.account)
}

// Tick handles the passage of time for a tenant; see Wake.
func (p *Pool) Tick(now time.Duration, t tier.Tenant) Effects {
	if a := p.accounts[t]; a != nil {
		return p.advance(now, a)
	}
	return Effects{}
}

// Wake returns when Tick must be called next for a tenant with waiters.
func (p *Pool) Wake(t tier.Tenant) time.Duration {
	wake := time.Duration(math.MaxInt64)
	a := p.accounts[t]
	if a == nil {
		return wake
	}
	for _, w := range a.waiters {
		wake = min(wake, w.deadline)
	}
	for _, c := range a.calls {
		if !c.slow {
			wake = min(wake, c.sent+patience)
		}
	}
	return wake
}

// Held returns the number of tokens in the pool.
func (p *Pool) Held() (tokens int) {
	for _, a := range p.accounts {
		for _, b := range a.tokens {
			tokens += b.count
		}
	}
	return tokens
}

// advance serves the waiters from the pool, asks a voter for what is missing, and refuses the waiters for whom no voter is
// left or whose time is over.
func (p *Pool) advance(now time.Duration, a *account) Effects {
	a.expire(now)
	p.serve(a)
	p.timeOut(now, a)
	switch {
	case len(a.waiters) == 0:
		a.newRound()
		p.prefetch(now, a)
	case a.awaiting():
	default:
		p.seek(now, a)
	}
	eff := p.eff
	p.eff = Effects{}
	return eff
}

func (p *Pool) serve(a *account) {
	for len(a.waiters) > 0 && len(a.tokens) > 0 {
		p.finish(a, 1, Outcome{Granted: true, Token: a.tokens[0].Token})
		if a.tokens[0].count--; a.tokens[0].count == 0 {
			a.tokens = slices.Delete(a.tokens, 0, 1)
		}
	}
}

// finish passes an outcome to the first n waiters.
func (p *Pool) finish(a *account, n int, o Outcome) {
	for _, w := range a.waiters[:n] {
		p.eff.Results = append(p.eff.Results, Result{w.id, o})
	}
	a.waiters = slices.Delete(a.waiters, 0, n)
}

// timeOut gives up slow calls and refuses the waiters whose time is over. Waiters have deadlines in about the order of
// arrival.
func (p *Pool) timeOut(now time.Duration, a *account) {
	for _, c := range a.calls {
		if !c.slow && now-c.sent >= patience {
			c.slow = true
			p.markSilent(now, c.voter)
		}
	}
	for i := 0; i < len(a.waiters); {
		if w := a.waiters[i]; now >= w.deadline {
			p.eff.Results = append(p.eff.Results, Result{w.id, a.refusal(now)})
			a.waiters = slices.Delete(a.waiters, i, i+1)
			continue
		}
		i++
	}
}

// seek asks the next voter for the waiters' tokens. Without one it refuses the waiters, unless a slow voter may still answer.
func (p *Pool) seek(now time.Duration, a *account) {
	v := p.choose(now, a, false)
	if v != nil {
		p.call(now, a, v, len(a.waiters)+p.ahead(now, a))
		return
	}
	if len(a.calls) == 0 {
		p.finish(a, len(a.waiters), a.refusal(now))
		a.newRound()
	}
}

// prefetch asks for tokens for requests to come, if there are enough of them that some are likely to be used in time.
func (p *Pool) prefetch(now time.Duration, a *account) {
	ahead := p.ahead(now, a)
	if ahead == 0 || len(a.calls) > 0 || 2*a.held() > ahead {
		return
	}
	if v := p.choose(now, a, true); v != nil {
		p.call(now, a, v, ahead)
	}
}

// ahead returns the number of requests that are expected while new tokens are valid, with a margin.
func (p *Pool) ahead(now time.Duration, a *account) int {
	return min(maxAhead, int(a.demandNow(now)*p.Limits.Life().Seconds()/2))
}

func (p *Pool) call(now time.Duration, a *account, v *voter, wanted int) {
	p.last++
	c := &call{id: p.last, account: a, voter: v.ID, sent: now, wanted: wanted}
	p.calls[c.id] = c
	a.calls = append(a.calls, c)
	a.asked[v.ID] = true
	p.eff.Calls = append(p.eff.Calls, Call{c.id, v.ID, Request{Tenant: a.tenant, Wanted: wanted, Returned: p.surplus(now, v.ID)}})
}

// surplus removes the tokens of a voter from the pool that are not expected to be used while they are valid, and returns
// them.
func (p *Pool) surplus(now time.Duration, id tier.NodeID) (out []Returned) {
	for _, a := range p.accounts {
		if len(a.tokens) == 0 {
			continue
		}
		kept := a.tokens[:0]
		expected := a.demandNow(now)
		for _, b := range a.tokens {
			if b.Voter == id && now < b.Expires && expected*(b.Expires-now).Seconds() < 1 && len(out) < maxReturned {
				out = append(out, Returned{a.tenant, b.Grant, b.count})
				continue
			}
			kept = append(kept, b)
		}
		a.tokens = kept
	}
	return out
}

func (p *Pool) markSilent(now time.Duration, id tier.NodeID) {
	if v := p.byID[id]; v != nil {
		v.silent, v.avoidUntil = true, now+avoidSilent
	}
}

func (p *Pool) end(id uint64) *call {
	c := p.calls[id]
	if c == nil {
		return nil
	}
	delete(p.calls, id)
	c.account.calls = slices.DeleteFunc(c.account.calls, func(x *call) bool { return x == c })
	return c
}

func (p *Pool) account(t tier.Tenant) *account {
	a := p.accounts[t]
	if a == nil {
		a = &account{tenant: t, asked: map[tier.NodeID]bool{}, empty: map[tier.NodeID]shortage{}}
		p.accounts[t] = a
	}
	return a
}

// sweep forgets tenants without requests.
func (p *Pool) sweep(now time.Duration) {
	if now-p.swept < forgetAfter {
		return
	}
	p.swept = now
	for t, a := range p.accounts {
		if len(a.waiters)+len(a.calls) == 0 && now-a.demandAt >= forgetAfter {
			delete(p.accounts, t)
		}
	}
}
