// Package reach decides from a host's own sub-requests whether the host is cut off from the servers. It does no I/O, takes
// the time from its caller, and is not safe for concurrent use.
package reach

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// evidenceAge is how long the last sub-request to a server counts as evidence.
	evidenceAge = 2 * time.Second
	// minFailures is the number of failures in a row, and minUnanswered the number of sub-requests without an answer, from
	// which a server counts as lost: a single one may be the request's fault.
	minFailures   = 2
	minUnanswered = 2
	// silenceFactor is the multiple of the usual response time, on top of minSilence, after which a sub-request counts as
	// unanswered. Regular pauses of servers are shorter.
	silenceFactor = 4
	minSilence    = 300 * time.Millisecond
	// resumeTime is how long failures after a suspension may be those of connections that ended meanwhile.
	resumeTime = 500 * time.Millisecond
	// minLost is the number of lost servers from which a host may be cut off.
	minLost = 3
	// A host is cut off if it has lost more than lostShare of the servers that it tried lately, and in touch again when it
	// has lost less than regainedShare of them.
	lostShare     = 0.5
	regainedShare = 0.25
)

type server struct {
	// unanswered is the number of sub-requests since the last answer, silentAt when the first of them counts as unanswered.
	unanswered int
	silentAt   time.Duration
	failures   int
	triedAt    time.Duration
}

// lost reports whether the server seems to be out of reach.
func (s *server) lost(now time.Duration) bool {
	return s.failures >= minFailures || (s.unanswered >= minUnanswered && now >= s.silentAt)
}

// Board holds what became of the latest sub-requests to each server.
type Board struct {
	servers map[tier.ServerID]*server
	cut     bool
	// heldUntil is until when the host does not count as cut off after a suspension.
	heldUntil time.Duration
}

// Start clears the board. It must be called before first use.
func (b *Board) Start() { b.servers, b.cut = map[tier.ServerID]*server{}, false }

// Forget drops the servers for which keep returns false.
func (b *Board) Forget(keep func(tier.ServerID) bool) {
	for id := range b.servers {
		if !keep(id) {
			delete(b.servers, id)
		}
	}
}

func (b *Board) find(id tier.ServerID) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// Sent records a sub-request whose usual response time is given.
func (b *Board) Sent(now time.Duration, id tier.ServerID, usual time.Duration) {
	s := b.find(id)
	if s.unanswered == 0 {
		s.silentAt = now + minSilence + silenceFactor*usual
	}
	s.unanswered++
	s.triedAt = now
}

// Answered records that a server answered, whatever the answer was, or accepted a connection after all.
func (b *Board) Answered(now time.Duration, id tier.ServerID) {
	s := b.find(id)
	*s = server{triedAt: max(s.triedAt, now)}
}

// Failed records that no connection could be established, or that one broke.
func (b *Board) Failed(now time.Duration, id tier.ServerID) {
	s := b.find(id)
	s.failures++
	s.triedAt = max(s.triedAt, now)
}

// Lost reports whether a server seems to be out of this host's reach. It may also have failed.
func (b *Board) Lost(now time.Duration, id tier.ServerID) bool {
	s := b.servers[id]
	return s != nil && s.lost(now)
}

// Broken reports whether the last connections to a server could not be established, or broke.
func (b *Board) Broken(id tier.ServerID) bool {
	s := b.servers[id]
	return s != nil && s.failures >= minFailures
}

// Counts returns how many servers have been tried lately, and how many of them are lost. While the host is cut off, lost
// servers count as tried until they answer.
func (b *Board) Counts(now time.Duration) (tried, lost int) {
	for _, s := range b.servers {
		switch {
		case s.lost(now) && (b.cut || now-s.triedAt <= evidenceAge):
			tried++
			lost++
		case now-s.triedAt <= evidenceAge:
			tried++
		}
	}
	return tried, lost
}

// Update decides whether the host is cut off; changed is set if that differs from before.
func (b *Board) Update(now time.Duration) (cut, changed bool) {
	tried, lost := b.Counts(now)
	before := b.cut
	if b.cut {
		b.cut = float64(lost) >= regainedShare*float64(tried) && lost > 0
	} else {
		b.cut = now >= b.heldUntil && lost >= minLost && float64(lost) > lostShare*float64(tried)
	}
	return b.cut, b.cut != before
}

// Suspended must be called after a time in which this process did not run: answers may have arrived meanwhile without
// being read, and servers may have closed idle connections.
func (b *Board) Suspended(now time.Duration) {
	b.heldUntil = now + resumeTime
	for _, s := range b.servers {
		s.silentAt = max(s.silentAt, now+minSilence)
	}
}

// LostServers appends the lost servers to list, at most limit of them.
func (b *Board) LostServers(now time.Duration, list []tier.ServerID, limit int) []tier.ServerID {
	for id, s := range b.servers {
		if len(list) >= limit {
			break
		}
		if s.lost(now) {
			list = append(list, id)
		}
	}
	return list
}
