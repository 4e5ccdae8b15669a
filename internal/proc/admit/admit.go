// Package admit implements the admission control of an entry: a concurrency limit per service that adapts to the
// queueing time at the owners, fair shares between accounts, request classes, and a rate limit per account. It does no
// I/O, takes the time as an argument, and is not safe for concurrent use.
package admit

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	initialLimit = 64
	minLimit     = 4
	maxLimit     = 100000
	// decreasePercent is the percentage to which the limit is reduced on overload.
	decreasePercent = 90
	// minDecreaseInterval is the minimum time between two decreases of the limit.
	minDecreaseInterval = 50 * time.Millisecond
	// fairSharePercent is the percentage of the limit in use from which each account is limited to its fair share.
	fairSharePercent = 80
	// bulkPercent and normalPercent are the percentages of the limit that requests of these classes may use.
	bulkPercent   = 70
	normalPercent = 95
	// waitDivisor is part of the bound on the queueing time at an owner: max(target, meanTime/waitDivisor). A longer
	// time decreases the limit. The second term lets services with long requests queue for longer than the target.
	waitDivisor = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// service is the admission state of one service.
type service struct {
	limit       float64
	inFlight    int
	byAccount   map[tier.Account]int
	decreasedAt time.Duration
	refused     int
	meanTime    time.Duration
}

// tokenBucket limits the request rate of one account.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Gate decides which requests an entry admits.
type Gate struct {
	// Rate returns the rate limit of an account at this entry in requests per second; 0 means unlimited.
	Rate func(tier.Account) float64

	services map[tier.Service]*service
	buckets  map[tier.Account]*tokenBucket
}

// Start initializes the gate, without requests in flight.
func (g *Gate) Start() {
	g.services = map[tier.Service]*service{}
	g.buckets = map[tier.Account]*tokenBucket{}
}

func (g *Gate) service(name tier.Service) *service {
	s := g.services[name]
	if s == nil {
		s = &service{limit: initialLimit, byAccount: map[tier.Account]int{}}
		g.services[name] = s
	}
	return s
}

// Admit admits a request and returns ReasonNone, or returns the reason for refusing it and the time after which to
// retry. rank is the rank of the request's class: 0 is urgent, 1 normal, 2 bulk.
func (g *Gate) Admit(now time.Duration, a tier.Account, name tier.Service, rank int) (tier.Reason, time.Duration) {
	if wait := g.takeToken(now, a); wait > 0 {
		return tier.ReasonLimit, wait
	}
	s := g.service(name)
	if !s.hasCapacity(a, rank) {
		s.refused++
		return tier.ReasonOverload, s.retryAfter()
	}
	s.inFlight++
	s.byAccount[a]++
	return tier.ReasonNone, 0
}

// hasCapacity reports whether the limit allows another request of this class and account.
func (s *service) hasCapacity(a tier.Account, rank int) bool {
	limit := s.limit
	switch rank {
	case 1:
		limit = limit * normalPercent / 100
	case 2:
		limit = limit * bulkPercent / 100
	}
	if float64(s.inFlight) >= max(limit, 1) {
		return false
	}
	if float64(s.inFlight) < s.limit*fairSharePercent/100 {
		return true
	}
	accounts := len(s.byAccount)
	if s.byAccount[a] == 0 {
		accounts++
	}
	return float64(s.byAccount[a]) < s.limit/float64(accounts)
}

// retryAfter returns the time after which a refused caller should retry. It grows with the number of requests refused
// since a request last ended.
func (s *service) retryAfter() time.Duration {
	d := s.meanTime * time.Duration(1+s.refused) / time.Duration(max(1, int(s.limit)))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (g *Gate) takeToken(now time.Duration, a tier.Account) time.Duration {
	rate := g.Rate(a)
	if rate <= 0 {
		delete(g.buckets, a)
		return 0
	}
	b := g.buckets[a]
	if b == nil {
		b = &tokenBucket{tokens: max(rate, 1), refilledAt: now}
		g.buckets[a] = b
	}
	b.tokens = min(b.tokens+rate*(now-b.refilledAt).Seconds(), max(rate, 1))
	b.refilledAt = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return 0
}

// Release records the end of an admitted request. queued is the longest time that one of its sub-requests waited at an
// owner; the limit decreases if it exceeds both target and meanTime/waitDivisor. overloaded reports whether a
// sub-request was refused for overload, which also decreases the limit.
func (g *Gate) Release(now time.Duration, a tier.Account, name tier.Service, took, queued, target time.Duration, overloaded bool) {
	s := g.service(name)
	busy := float64(s.inFlight) > s.limit*fairSharePercent/100
	s.inFlight--
	if s.byAccount[a]--; s.byAccount[a] <= 0 {
		delete(s.byAccount, a)
	}
	s.refused = 0
	s.meanTime += (took - s.meanTime) / 8
	if overloaded || queued > max(target, s.meanTime/waitDivisor) {
		s.decreaseLimit(now)
		return
	}
	if busy {
		s.limit = min(s.limit+1/s.limit, maxLimit)
	}
}

// decreaseLimit lowers the limit if at least half of it was in use: a queue at an owner while few requests are in
// flight does not mean that the limit is too high.
func (s *service) decreaseLimit(now time.Duration) {
	if now-s.decreasedAt < minDecreaseInterval || float64(s.inFlight+1) < s.limit/2 {
		return
	}
	s.decreasedAt = now
	s.limit = max(s.limit*decreasePercent/100, minLimit)
}

// Limit returns the concurrency limit of a service.
func (g *Gate) Limit(name tier.Service) float64 { return g.service(name).limit }

// InFlight returns the number of requests of a service in flight.
func (g *Gate) InFlight(name tier.Service) int { return g.service(name).inFlight }
