// Package pace selects the server for each sub-request, mainly by the response
// times that this node recently observed; the load that servers report counts
// only within bounds. It does no I/O, takes the time from its caller, and is
// not safe for concurrent use.
package pace

import (
	"math"
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// observationHalfLife is the half-life of the response time average: a slow
	// server is tried again after a few seconds.
	observationHalfLife = 1500 * time.Millisecond
	// wideHalfLife is that half-life where searches go to many shards. Such a search meets the servers that are tried again in all
	// of its shards, and each of the many hosts of such a fleet tries a slow server again by itself.
	wideHalfLife = 4500 * time.Millisecond
	// observationWeight is the weight of a new observation in the moving average;
	// three in a row dominate it.
	observationWeight = 0.4
	// maxRatio caps an observation, so that a single outlier decays within a few half-lives.
	maxRatio = 12
	// initialCooldown is how long a server is avoided after a failure; it doubles
	// with each consecutive failure, up to maxCooldown.
	initialCooldown = 400 * time.Millisecond
	maxCooldown     = 6 * time.Second
	// shedCooldown is how long a server counts as full after it refused a request for lack of capacity.
	shedCooldown = 150 * time.Millisecond
	// failureWeight is the weight of a new outcome in a server's failure rate (the
	// share of requests that it fails or refuses); failureHalfLife is the half-life of that rate.
	failureWeight   = 0.2
	failureHalfLife = 4 * time.Second
	// failureCostDivisor divides a request's target to give the cost of a certain
	// failure: the time that another server needs, and one retry of the budget.
	failureCostDivisor = 1
	// loadMaxAge is how long a reported queue length is used.
	loadMaxAge = 250 * time.Millisecond
	// slowdownWeight is the weight of the slowdown that a server reports against the
	// ratio that this node observed: servers may report false values, and other
	// requests arrive in between. slowdownHalfLife is the half-life of that weight;
	// the reported value changes many times a second.
	slowdownWeight   = 0.5
	slowdownHalfLife = 100 * time.Millisecond
	// zoneCostDivisor divides a request's target to give the cost of leaving the
	// zone: an answer within the target has the same value however early it
	// arrives, and traffic between zones is charged.
	zoneCostDivisor = 3
)

// Load is the load that a server reports with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the server's current processing time to its usual one; 0 if not reported.
	Slowdown float64
}

type server struct {
	ratio         float64
	ratioAt       time.Duration
	inFlight      int
	failures      int
	cooldownUntil time.Duration
	fullUntil     time.Duration
	failureRate   float64
	failureRateAt time.Duration
	queuePerSlot  float64
	loadAt        time.Duration
	slowdown      float64
	halfLife      time.Duration
}

// Board holds one node's observations of the servers.
type Board struct {
	// Zone is the node's own zone.
	Zone tier.Zone
	// Limit returns the maximum number of connections from this node to a server; nil means no limit.
	Limit func(tier.ServerID) int
	// Allowed reports whether a request may be sent to a server now; nil means always.
	Allowed func(now time.Duration, id tier.ServerID) bool
	// Wide is set where searches go to many shards. The queue that a server reports then counts in absolute time: while most
	// servers have queues, the usual time contains them, and a multiple of it makes a fast server with a queue look worse than a
	// slow one without.
	Wide bool

	servers map[tier.ServerID]*server
	pauses  pauses
}

// Start clears all observations. It must be called before first use.
func (b *Board) Start() {
	b.servers = map[tier.ServerID]*server{}
	b.pauses.start()
}

// Forget drops the observations of all servers for which keep returns false.
func (b *Board) Forget(keep func(tier.ServerID) bool) {
	for id := range b.servers {
		if !keep(id) {
			delete(b.servers, id)
		}
	}
	b.pauses.forget(keep)
}

// getOrCreate returns the state of a server; a new one is assumed to answer in the usual time.
func (b *Board) getOrCreate(id tier.ServerID) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{ratio: 1, halfLife: observationHalfLife}
		b.servers[id] = s
	}
	if b.Wide {
		s.halfLife = wideHalfLife
	}
	return s
}

// currentFailureRate returns the server's failure rate, decayed to now.
func (s *server) currentFailureRate(now time.Duration) float64 {
	return s.failureRate * math.Exp2(-float64(now-s.failureRateAt)/float64(failureHalfLife))
}

// recordOutcome updates the failure rate; failure is 1 for a failed or refused request and 0 otherwise.
func (s *server) recordOutcome(now time.Duration, failure float64) {
	old := s.currentFailureRate(now)
	s.failureRate, s.failureRateAt = old+(failure-old)*failureWeight, now
}

// RecordSent records that a sub-request was sent.
func (b *Board) RecordSent(id tier.ServerID) { b.getOrCreate(id).inFlight++ }

// RecordEnded records that a sub-request ended, whatever its outcome.
func (b *Board) RecordEnded(id tier.ServerID) {
	if s := b.servers[id]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// RecordAnswer records an answer; ratio is its response time divided by the usual one.
func (b *Board) RecordAnswer(now time.Duration, id tier.ServerID, ratio float64) {
	s := b.getOrCreate(id)
	s.failures, s.cooldownUntil = 0, 0
	s.recordOutcome(now, 0)
	s.observe(now, ratio)
}

// RecordDuration records how long a sub-request took whose usual time is given; answered is false if
// it was given up. Those that took much longer than usual show when the server pauses.
func (b *Board) RecordDuration(id tier.ServerID, sent, end, usual time.Duration, answered bool) {
	b.pauses.record(id, sent, end, usual, answered)
}

// RecordLowerBound records a lower bound of the ratio, from a sub-request that got no
// answer. A bound below the current ratio is ignored.
func (b *Board) RecordLowerBound(now time.Duration, id tier.ServerID, ratio float64) {
	s := b.getOrCreate(id)
	if ratio > s.currentRatio(now) {
		s.observe(now, ratio)
	}
}

// observe adds a ratio to the moving average.
func (s *server) observe(now time.Duration, ratio float64) {
	old := s.currentRatio(now)
	s.ratio = old + (min(ratio, maxRatio)-old)*observationWeight
	s.ratioAt = now
}

// currentRatio returns the average ratio, decayed towards 1.
func (s *server) currentRatio(now time.Duration) float64 {
	return 1 + (s.ratio-1)*math.Exp2(-float64(now-s.ratioAt)/float64(s.halfLife))
}

// expectedRatio combines the observed ratio with the slowdown that the server reported.
func (s *server) expectedRatio(now time.Duration) float64 {
	ratio := s.currentRatio(now)
	if s.slowdown == 0 {
		return ratio
	}
	reported := min(s.slowdown, maxRatio)
	return ratio + (reported-ratio)*slowdownWeight*math.Exp2(-float64(now-s.loadAt)/float64(slowdownHalfLife))
}

// RecordLoad records the load that a server reported with an answer.
func (b *Board) RecordLoad(now time.Duration, id tier.ServerID, l Load) {
	s := b.getOrCreate(id)
	s.queuePerSlot, s.loadAt, s.slowdown = 0, now, l.Slowdown
	if l.Slots > 0 {
		s.queuePerSlot = float64(l.Waiting+max(0, l.Running-l.Slots+1)) / float64(l.Slots)
	}
}

// RecordFailure records that a server or the connection to it failed, and starts its cooldown.
func (b *Board) RecordFailure(now time.Duration, id tier.ServerID) {
	s := b.getOrCreate(id)
	s.cooldownUntil = now + min(initialCooldown<<min(s.failures, 5), maxCooldown)
	s.failures++
}

// RecordError records that a server answered with an error or a malformed answer.
func (b *Board) RecordError(now time.Duration, id tier.ServerID) {
	b.getOrCreate(id).recordOutcome(now, 1)
}

// RecordRefusal records that a server refused a request for lack of capacity.
func (b *Board) RecordRefusal(now time.Duration, id tier.ServerID) {
	s := b.getOrCreate(id)
	s.recordOutcome(now, 1)
	s.fullUntil = now + shedCooldown
}

// Timing holds the expected times of a request, from which the cost of a server is computed.
type Timing struct {
	// Base is the usual response time.
	Base time.Duration
	// Quick is the response time without queueing.
	Quick time.Duration
	// Target is the wanted response time; an answer within it has its full value.
	Target time.Duration
}

// Cost returns the expected time until the candidate answers, with the rest of a pause that is due
// now, plus penalties for failures, full servers, cooldowns and leaving the zone.
func (b *Board) Cost(now time.Duration, k Timing, c tier.Candidate) time.Duration {
	cost := float64(k.Base)
	if s := b.servers[c.Server]; s != nil {
		queue := 0.0
		if now-s.loadAt < loadMaxAge {
			queue = s.queuePerSlot
		}
		cost *= s.expectedRatio(now)
		if b.Wide {
			cost = max(cost, float64(k.Quick)*(1+queue))
			queue = 0
		}
		cost *= 1 + queue + float64(s.inFlight)/4
		cost += s.currentFailureRate(now) * float64(k.Target) / failureCostDivisor
		if now < s.fullUntil {
			cost += 2 * float64(k.Base)
		}
		if b.Limit != nil && s.inFlight >= b.Limit(c.Server) {
			cost += float64(k.Target)
		}
		if now < s.cooldownUntil {
			cost += float64(k.Target) + float64(s.cooldownUntil-now)
		}
	}
	cost += float64(b.pauses.remaining(now, c.Server, k.Base))
	if c.Zone != b.Zone {
		cost += float64(k.Target) / zoneCostDivisor
	}
	return time.Duration(cost)
}

// Pick returns the index of the allowed candidate with the lowest cost, or -1 if there is none.
func (b *Board) Pick(now time.Duration, k Timing, candidates []tier.Candidate) int {
	best, lowestCost := -1, time.Duration(math.MaxInt64)
	for i, c := range candidates {
		if b.Allowed != nil && !b.Allowed(now, c.Server) {
			continue
		}
		if cost := b.Cost(now, k, c); cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best
}

const (
	// medianWindow is the number of recent answers of which the median is computed.
	medianWindow = 64
	// medianInterval is the number of answers between two computations of the median.
	medianInterval = 8
	// quickDivisor gives the share of recent answers, the fastest 1/quickDivisor,
	// that count as not delayed by a queue.
	quickDivisor = 8
)

// Median estimates the usual response time as the median of recent answers,
// which stays correct while fewer than half of the servers are slow.
type Median struct {
	ring   [medianWindow]time.Duration
	count  int
	median time.Duration
	quick  time.Duration
}

// Add records the response time of one answer.
func (m *Median) Add(d time.Duration) {
	m.ring[m.count%medianWindow] = d
	m.count++
	if m.count%medianInterval != 0 && m.count > medianInterval {
		return
	}
	sorted := append([]time.Duration(nil), m.ring[:min(m.count, medianWindow)]...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	m.median, m.quick = sorted[len(sorted)/2], sorted[len(sorted)/quickDivisor]
}

// Value returns the median, or fallback before the first answer.
func (m *Median) Value(fallback time.Duration) time.Duration {
	if m.count == 0 {
		return fallback
	}
	return m.median
}

// Quick returns the response time at the fast end of recent answers (see quickDivisor), or 0 before the first one.
func (m *Median) Quick() time.Duration { return m.quick }
