// Package admit decides which requests an entry takes on: a concurrency
// limit per service that follows the queues at the owners, fair shares
// between accounts, classes, and rates per account. It is pure and not safe
// for concurrent use.
package admit

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	firstLimit = 64
	leastLimit = 4
	mostLimit  = 100000
	// cutFactor is applied to the limit on overload, in per cent.
	cutFactor = 90
	// cutEvery is the least time between two cuts.
	cutEvery = 50 * time.Millisecond
	// fairFrom is the share of the limit in use, in per cent, from which accounts are held to fair shares.
	fairFrom = 80
	// bulkShare and normalShare are the shares of the limit, in per cent, open to these classes.
	bulkShare   = 70
	normalShare = 95
	// waitShare is the part of a request's mean time that its longest wait at
	// an owner may be: services that take long may queue longer.
	waitShare = 2
	// retryLeast and retryMost bound the time after which a refused caller should come back.
	retryLeast = 50 * time.Millisecond
	retryMost  = 5 * time.Second
)

// service is the state of one service.
type service struct {
	limit     float64
	open      int
	byAccount map[tier.Account]int
	cutAt     time.Duration
	refused   int
	mean      time.Duration
}

// bucket limits one account's rate.
type bucket struct {
	tokens float64
	at     time.Duration
}

// Gate admits requests of one entry.
type Gate struct {
	// Rate returns an account's limit at this entry in requests per second; 0 is none.
	Rate func(tier.Account) float64

	services map[tier.Service]*service
	buckets  map[tier.Account]*bucket
}

// Start empties the gate.
func (g *Gate) Start() {
	g.services = map[tier.Service]*service{}
	g.buckets = map[tier.Account]*bucket{}
}

func (g *Gate) service(name tier.Service) *service {
	s := g.services[name]
	if s == nil {
		s = &service{limit: firstLimit, byAccount: map[tier.Account]int{}}
		g.services[name] = s
	}
	return s
}

// Enter admits a request or gives the reason for refusal and when to come back.
func (g *Gate) Enter(now time.Duration, a tier.Account, name tier.Service, rank int) (tier.Reason, time.Duration) {
	if wait := g.take(now, a); wait > 0 {
		return tier.ReasonLimit, wait
	}
	s := g.service(name)
	if !s.room(a, rank) {
		s.refused++
		return tier.ReasonOverload, s.retryAfter()
	}
	s.open++
	s.byAccount[a]++
	return tier.ReasonNone, 0
}

// room reports whether the class and the account have room under the limit.
func (s *service) room(a tier.Account, rank int) bool {
	limit := s.limit
	switch rank {
	case 1:
		limit = limit * normalShare / 100
	case 2:
		limit = limit * bulkShare / 100
	}
	if float64(s.open) >= max(limit, 1) {
		return false
	}
	if float64(s.open) < s.limit*fairFrom/100 {
		return true
	}
	accounts := len(s.byAccount)
	if s.byAccount[a] == 0 {
		accounts++
	}
	return float64(s.byAccount[a]) < s.limit/float64(accounts)
}

// retryAfter grows with the requests refused since the last one that ended.
func (s *service) retryAfter() time.Duration {
	d := s.mean * time.Duration(1+s.refused) / time.Duration(max(1, int(s.limit)))
	return min(max(d, retryLeast), retryMost)
}

func (g *Gate) take(now time.Duration, a tier.Account) time.Duration {
	rate := g.Rate(a)
	if rate <= 0 {
		delete(g.buckets, a)
		return 0
	}
	b := g.buckets[a]
	if b == nil {
		b = &bucket{tokens: max(rate, 1), at: now}
		g.buckets[a] = b
	}
	b.tokens = min(b.tokens+rate*(now-b.at).Seconds(), max(rate, 1))
	b.at = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return 0
}

// Leave ends a request. queued is the longest time that a part of it waited
// at an owner, which lowers the limit when it is above target and a share of
// the mean time; overloaded says that a part was refused for overload.
func (g *Gate) Leave(now time.Duration, a tier.Account, name tier.Service, took, queued, target time.Duration, overloaded bool) {
	s := g.service(name)
	busy := float64(s.open) > s.limit*fairFrom/100
	s.open--
	if s.byAccount[a]--; s.byAccount[a] <= 0 {
		delete(s.byAccount, a)
	}
	s.refused = 0
	s.mean += (took - s.mean) / 8
	if overloaded || queued > max(target, s.mean/waitShare) {
		s.cut(now)
		return
	}
	if busy {
		s.limit = min(s.limit+1/s.limit, mostLimit)
	}
}

// cut lowers the limit, but only where the limit was near to being used: a
// queue under few requests is no sign of too many.
func (s *service) cut(now time.Duration) {
	if now-s.cutAt < cutEvery || float64(s.open+1) < s.limit/2 {
		return
	}
	s.cutAt = now
	s.limit = max(s.limit*cutFactor/100, leastLimit)
}

// Limit returns the concurrency limit of a service.
func (g *Gate) Limit(name tier.Service) float64 { return g.service(name).limit }

// Open returns the requests of a service that are under way.
func (g *Gate) Open(name tier.Service) int { return g.service(name).open }
