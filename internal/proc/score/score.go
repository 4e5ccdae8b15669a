// Package score keeps what a node has observed of servers through its own
// traffic, and chooses servers by it. It is pure and not safe for concurrent use.
package score

import (
	"math/rand/v2"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	meanWeight = 8
	// failLimit is the number of failures in a row after which a server is avoided.
	failLimit = 3
	// beatenLimit is the number of lost hedges in a row after which a server is avoided.
	beatenLimit  = 4
	avoidFirst   = time.Second
	avoidLongest = 30 * time.Second
	// zonePenalty is the cost of leaving the zone.
	zonePenalty = time.Millisecond
	// hintLife is how long an owner's word on its queue counts.
	hintLife = 50 * time.Millisecond
	// guess is the expected time of a server that has not been asked yet.
	guess = 5 * time.Millisecond
)

// server is what is known of one server instance.
type server struct {
	instance tier.Instance
	mean     time.Duration
	open     int
	fails    int
	beaten   int
	avoids   int
	until    time.Duration
	wait     time.Duration
	waitAt   time.Duration
}

// Board holds the observations.
type Board struct {
	// Zone is the node's own zone.
	Zone tier.Zone
	// Rand chooses the pairs that are compared.
	Rand *rand.Rand
	// Choices returns the configured way to choose: false is round robin.
	Choices func(tier.Service) bool
	// Share returns the largest share, in permille, of candidates that may be avoided.
	Share func(tier.Service) int64

	servers map[tier.ServerID]*server
	turn    map[tier.Service]int
	usable  []int
}

// Start empties the board.
func (b *Board) Start() {
	b.servers = map[tier.ServerID]*server{}
	b.turn = map[tier.Service]int{}
}

// Keep takes note of a server's present instance; what was observed of a
// former instance, or of a server that is gone, is forgotten.
func (b *Board) Keep(id tier.ServerID, i tier.Instance, live bool) {
	if !live {
		delete(b.servers, id)
		return
	}
	if s := b.servers[id]; s == nil || s.instance != i {
		b.servers[id] = &server{instance: i}
	}
}

func (b *Board) get(id tier.ServerID) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// Sent notes that a sub-request was sent.
func (b *Board) Sent(id tier.ServerID) { b.get(id).open++ }

// Ended notes that a sub-request ended for a reason that says nothing of the server.
func (b *Board) Ended(id tier.ServerID) {
	if s := b.get(id); s.open > 0 {
		s.open--
	}
}

// Succeeded notes an answer after took, and the owner's word on the next wait.
func (b *Board) Succeeded(now time.Duration, id tier.ServerID, took, wait time.Duration) {
	s := b.get(id)
	b.Ended(id)
	s.fails, s.beaten, s.avoids, s.until = 0, 0, 0, 0
	s.wait, s.waitAt = wait, now
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += (took - s.mean) / meanWeight
}

// Waiting notes the owner's word on the next wait without an answer.
func (b *Board) Waiting(now time.Duration, id tier.ServerID, wait time.Duration) {
	s := b.get(id)
	s.wait, s.waitAt = wait, now
}

// Failed notes a failure of the server.
func (b *Board) Failed(now time.Duration, id tier.ServerID) {
	s := b.get(id)
	b.Ended(id)
	s.fails++
	if s.fails >= failLimit {
		s.avoid(now)
	}
}

// Lost notes that the server or its connection went silent or away.
func (b *Board) Lost(now time.Duration, id tier.ServerID) {
	b.Ended(id)
	b.get(id).avoid(now)
}

// Beaten notes that a hedge sent later answered first.
func (b *Board) Beaten(now time.Duration, id tier.ServerID) {
	s := b.get(id)
	b.Ended(id)
	s.beaten++
	if s.beaten >= beatenLimit {
		s.beaten = 0
		s.avoid(now)
	}
}

func (s *server) avoid(now time.Duration) {
	d := min(avoidFirst<<min(s.avoids, 5), avoidLongest)
	s.avoids++
	s.until = now + d
}

// Avoided reports whether a server is being avoided.
func (b *Board) Avoided(now time.Duration, id tier.ServerID) bool {
	s := b.servers[id]
	return s != nil && now < s.until
}

// Pick returns the index of the chosen candidate, or -1 for none. It keeps
// to servers that are not avoided, unless more than the allowed share is.
func (b *Board) Pick(now time.Duration, service tier.Service, _ tier.Shard, list []tier.Candidate) int {
	if len(list) == 0 {
		return -1
	}
	usable := b.notAvoided(now, service, list)
	if !b.Choices(service) {
		b.turn[service]++
		return usable[b.turn[service]%len(usable)]
	}
	i := usable[b.Rand.IntN(len(usable))]
	j := usable[b.Rand.IntN(len(usable))]
	if b.cost(now, list[j]) < b.cost(now, list[i]) {
		return j
	}
	return i
}

func (b *Board) notAvoided(now time.Duration, service tier.Service, list []tier.Candidate) []int {
	b.usable = b.usable[:0]
	for i, c := range list {
		if !b.Avoided(now, c.Server) {
			b.usable = append(b.usable, i)
		}
	}
	avoided := len(list) - len(b.usable)
	allowed := max(1, int(b.Share(service))*len(list)/1000)
	if avoided > 0 && (avoided > allowed || len(b.usable) == 0) {
		b.usable = b.usable[:0]
		for i := range list {
			b.usable = append(b.usable, i)
		}
	}
	return b.usable
}

// cost is the expected time until an answer.
func (b *Board) cost(now time.Duration, c tier.Candidate) time.Duration {
	s := b.get(c.Server)
	mean := s.mean
	if mean == 0 {
		mean = guess
	}
	d := mean + mean*time.Duration(s.open)/2
	if now-s.waitAt < hintLife {
		d += s.wait
	}
	if c.Zone != b.Zone {
		d += zonePenalty
	}
	return d
}
