package reqst

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// deathsToHold is the number of servers that must have died under a request
	// before it is refused: fewer happen to innocent requests beside it.
	deathsToHold = 3
	// deathMemory is how long a death counts, and so how long a request is
	// refused after the last one.
	deathMemory = 60 * time.Second
	// mostSuspects bounds the requests that are remembered.
	mostSuspects = 4096
)

// Suspects remembers under which requests servers died, on all nodes. One that
// killed several servers is refused; an answer clears it, since a request that
// some server survives did not kill the others. It is pure and not safe for
// concurrent use.
type Suspects struct {
	deaths map[tier.Fingerprint]map[tier.ServerID]time.Duration
}

// Blame notes that a server died while it ran a request; fresh is false where
// that was known.
func (s *Suspects) Blame(now time.Duration, f tier.Fingerprint, id tier.ServerID) (fresh bool) {
	if s.deaths == nil {
		s.deaths = map[tier.Fingerprint]map[tier.ServerID]time.Duration{}
	}
	if s.deaths[f] == nil {
		if len(s.deaths) >= mostSuspects {
			s.forget(now)
		}
		if len(s.deaths) >= mostSuspects {
			return false
		}
		s.deaths[f] = map[tier.ServerID]time.Duration{}
	}
	_, known := s.deaths[f][id]
	s.deaths[f][id] = now
	return !known
}

func (s *Suspects) forget(now time.Duration) {
	for f := range s.deaths {
		if s.Deaths(now, f) == 0 {
			delete(s.deaths, f)
		}
	}
}

// Clear forgets a request's deaths: it was answered.
func (s *Suspects) Clear(f tier.Fingerprint) { delete(s.deaths, f) }

// Deaths returns how many servers have died under a request lately.
func (s *Suspects) Deaths(now time.Duration, f tier.Fingerprint) int {
	n := 0
	for _, at := range s.deaths[f] {
		if now-at < deathMemory {
			n++
		}
	}
	return n
}

// Held returns how long a request is refused, or 0.
func (s *Suspects) Held(now time.Duration, f tier.Fingerprint) time.Duration {
	if s.Deaths(now, f) < deathsToHold {
		return 0
	}
	var last time.Duration
	for _, at := range s.deaths[f] {
		last = max(last, at)
	}
	return last + deathMemory - now
}
