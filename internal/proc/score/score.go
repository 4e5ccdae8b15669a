// Package score selects servers for sub-requests by the latencies and failures that the node has observed in its own
// traffic. It does no I/O, takes the time as an argument, and is not safe for concurrent use.
package score

import (
	"math/rand/v2"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// meanWeight is the divisor of the moving average: a new sample counts for 1/meanWeight.
	meanWeight = 8
	// maxFailures is the number of consecutive failures after which a server is put in cooldown.
	maxFailures = 3
	// maxHedgeLosses is the number of consecutive sub-requests overtaken by their hedge after which a server is put
	// in cooldown.
	maxHedgeLosses = 4
	minCooldown    = time.Second
	maxCooldown    = 30 * time.Second
	// zonePenalty is added to the cost of a server in another zone.
	zonePenalty = time.Millisecond
	// waitHintTTL is how long the queueing time reported by an owner is used.
	waitHintTTL = 50 * time.Millisecond
	// initialLatency is the expected latency of a server without samples.
	initialLatency = 5 * time.Millisecond
)

// serverState holds the observations of one server instance.
type serverState struct {
	instance      tier.Instance
	meanLatency   time.Duration
	inFlight      int
	failures      int
	hedgeLosses   int
	cooldowns     int
	cooldownUntil time.Duration
	waitHint      time.Duration
	waitHintAt    time.Duration
}

// Board holds the observations of all servers.
type Board struct {
	// Zone is the zone of the node.
	Zone tier.Zone
	// Rand selects the two candidates that are compared.
	Rand *rand.Rand
	// TwoChoices reports whether the better of two random candidates is selected ("power of two choices"); otherwise
	// the selection is round robin.
	TwoChoices func(tier.Service) bool
	// MaxExcludedShare returns the maximum share of candidates, in permille, that may be excluded because of a cooldown.
	MaxExcludedShare func(tier.Service) int64

	servers     map[tier.ServerID]*serverState
	nextIndex   map[tier.Service]int
	eligibleBuf []int
}

// Start initializes the board, without observations.
func (b *Board) Start() {
	b.servers = map[tier.ServerID]*serverState{}
	b.nextIndex = map[tier.Service]int{}
}

// SetInstance sets the current instance of a server. The observations of a former instance, or of a server that is no
// longer live, are discarded.
func (b *Board) SetInstance(id tier.ServerID, i tier.Instance, live bool) {
	if !live {
		delete(b.servers, id)
		return
	}
	if s := b.servers[id]; s == nil || s.instance != i {
		b.servers[id] = &serverState{instance: i}
	}
}

func (b *Board) state(id tier.ServerID) *serverState {
	s := b.servers[id]
	if s == nil {
		s = &serverState{}
		b.servers[id] = s
	}
	return s
}

// Sent records that a sub-request was sent to a server.
func (b *Board) Sent(id tier.ServerID) { b.state(id).inFlight++ }

// Ended records the end of a sub-request for a reason that says nothing about the server.
func (b *Board) Ended(id tier.ServerID) {
	if s := b.state(id); s.inFlight > 0 {
		s.inFlight--
	}
}

// Succeeded records a response, its latency, and the queueing time that the owner reported for the next sub-request.
func (b *Board) Succeeded(now time.Duration, id tier.ServerID, took, wait time.Duration) {
	s := b.state(id)
	b.Ended(id)
	s.failures, s.hedgeLosses, s.cooldowns, s.cooldownUntil = 0, 0, 0, 0
	s.waitHint, s.waitHintAt = wait, now
	if s.meanLatency == 0 {
		s.meanLatency = took
		return
	}
	s.meanLatency += (took - s.meanLatency) / meanWeight
}

// WaitReported records the queueing time that the owner reported for the next sub-request, without a response.
func (b *Board) WaitReported(now time.Duration, id tier.ServerID, wait time.Duration) {
	s := b.state(id)
	s.waitHint, s.waitHintAt = wait, now
}

// Failed records an error returned by the server.
func (b *Board) Failed(now time.Duration, id tier.ServerID) {
	s := b.state(id)
	b.Ended(id)
	s.failures++
	if s.failures >= maxFailures {
		s.startCooldown(now)
	}
}

// Lost records that the server or its connection was lost or stopped responding. The server is put in cooldown at
// once.
func (b *Board) Lost(now time.Duration, id tier.ServerID) {
	b.Ended(id)
	b.state(id).startCooldown(now)
}

// LostToHedge records that a hedge, which was sent later, was answered first.
func (b *Board) LostToHedge(now time.Duration, id tier.ServerID) {
	s := b.state(id)
	b.Ended(id)
	s.hedgeLosses++
	if s.hedgeLosses >= maxHedgeLosses {
		s.hedgeLosses = 0
		s.startCooldown(now)
	}
}

func (s *serverState) startCooldown(now time.Duration) {
	d := min(minCooldown<<min(s.cooldowns, 5), maxCooldown)
	s.cooldowns++
	s.cooldownUntil = now + d
}

// InCooldown reports whether a server is in cooldown.
func (b *Board) InCooldown(now time.Duration, id tier.ServerID) bool {
	s := b.servers[id]
	return s != nil && now < s.cooldownUntil
}

// Pick returns the index of the selected candidate, or -1 if there are no candidates. Servers in cooldown are excluded
// unless more than the allowed share of the candidates is in cooldown; then all candidates are eligible.
func (b *Board) Pick(now time.Duration, service tier.Service, _ tier.Shard, list []tier.Candidate) int {
	if len(list) == 0 {
		return -1
	}
	eligible := b.eligible(now, service, list)
	if !b.TwoChoices(service) {
		b.nextIndex[service]++
		return eligible[b.nextIndex[service]%len(eligible)]
	}
	i := eligible[b.Rand.IntN(len(eligible))]
	j := eligible[b.Rand.IntN(len(eligible))]
	if b.cost(now, list[j]) < b.cost(now, list[i]) {
		return j
	}
	return i
}

func (b *Board) eligible(now time.Duration, service tier.Service, list []tier.Candidate) []int {
	b.eligibleBuf = b.eligibleBuf[:0]
	for i, c := range list {
		if !b.InCooldown(now, c.Server) {
			b.eligibleBuf = append(b.eligibleBuf, i)
		}
	}
	excluded := len(list) - len(b.eligibleBuf)
	maxExcluded := max(1, int(b.MaxExcludedShare(service))*len(list)/1000)
	if excluded > 0 && (excluded > maxExcluded || len(b.eligibleBuf) == 0) {
		b.eligibleBuf = b.eligibleBuf[:0]
		for i := range list {
			b.eligibleBuf = append(b.eligibleBuf, i)
		}
	}
	return b.eligibleBuf
}

// cost returns the expected time until a server responds.
func (b *Board) cost(now time.Duration, c tier.Candidate) time.Duration {
	s := b.state(c.Server)
	mean := s.meanLatency
	if mean == 0 {
		mean = initialLatency
	}
	d := mean + mean*time.Duration(s.inFlight)/2
	if now-s.waitHintAt < waitHintTTL {
		d += s.waitHint
	}
	if c.Zone != b.Zone {
		d += zonePenalty
	}
	return d
}
