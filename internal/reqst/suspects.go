package reqst

import (
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// quarantineDeaths is the number of servers that must have died while running a request
	// before it is refused: fewer can also occur under innocent requests that run
	// beside the cause.
	quarantineDeaths = 3
	// deathTTL is how long a death counts, and so how long a request is refused after the
	// last one.
	deathTTL = 60 * time.Second
	// maxSuspects is the maximum number of requests that are tracked.
	maxSuspects = 4096
)

// Suspects tracks which requests were running on servers that died, on all nodes. A
// request that killed several servers is refused. An answer clears it, since a request
// that some server survives did not kill the others. It does no I/O and is not safe for
// concurrent use.
type Suspects struct {
	deaths map[tier.Fingerprint]map[tier.ServerID]time.Duration
}

// Death is the death of a server while it ran a request.
type Death struct {
	Fingerprint tier.Fingerprint
	Server      tier.ServerID
	// Age is the time since the death.
	Age time.Duration
}

// Blame records a death; fresh is false if it was already known, is too long ago, or maxSuspects
// is reached.
func (s *Suspects) Blame(now time.Duration, d Death) (fresh bool) {
	f, id, at := d.Fingerprint, d.Server, now-max(0, d.Age)
	if now-at >= deathTTL {
		return false
	}
	if s.deaths == nil {
		s.deaths = map[tier.Fingerprint]map[tier.ServerID]time.Duration{}
	}
	if s.deaths[f] == nil {
		if len(s.deaths) >= maxSuspects {
			s.evictExpired(now)
		}
		if len(s.deaths) >= maxSuspects {
			return false
		}
		s.deaths[f] = map[tier.ServerID]time.Duration{}
	}
	before, known := s.deaths[f][id]
	if !known || at > before {
		s.deaths[f][id] = at
	}
	return !known
}

// List returns the deaths that count, at most limit of them, those of the requests with the most
// deaths first.
func (s *Suspects) List(now time.Duration, limit int) []Death {
	type suspect struct {
		fingerprint tier.Fingerprint
		deaths      int
	}
	var suspects []suspect
	for f := range s.deaths {
		if n := s.Deaths(now, f); n > 0 {
			suspects = append(suspects, suspect{f, n})
		}
	}
	sort.Slice(suspects, func(i, j int) bool {
		a, b := suspects[i], suspects[j]
		return a.deaths > b.deaths || (a.deaths == b.deaths && a.fingerprint < b.fingerprint)
	})
	var out []Death
	for _, p := range suspects {
		for id, at := range s.deaths[p.fingerprint] {
			if len(out) == limit {
				return out
			}
			if now-at < deathTTL {
				out = append(out, Death{p.fingerprint, id, now - at})
			}
		}
	}
	return out
}

func (s *Suspects) evictExpired(now time.Duration) {
	for f := range s.deaths {
		if s.Deaths(now, f) == 0 {
			delete(s.deaths, f)
		}
	}
}

// Clear removes a request's deaths after it was answered.
func (s *Suspects) Clear(f tier.Fingerprint) { delete(s.deaths, f) }

// Deaths returns how many servers died while running a request within deathTTL.
func (s *Suspects) Deaths(now time.Duration, f tier.Fingerprint) int {
	n := 0
	for _, at := range s.deaths[f] {
		if now-at < deathTTL {
			n++
		}
	}
	return n
}

// QuarantineRemaining returns how long a request will be refused, or 0.
func (s *Suspects) QuarantineRemaining(now time.Duration, f tier.Fingerprint) time.Duration {
	if s.Deaths(now, f) < quarantineDeaths {
		return 0
	}
	var last time.Duration
	for _, at := range s.deaths[f] {
		last = max(last, at)
	}
	return last + deathTTL - now
}
