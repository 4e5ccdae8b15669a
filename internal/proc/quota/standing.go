package quota

import "time"

// maxViewAge is how long an observation of the control replica counts. A replica whose disk hangs is observed no more.
const maxViewAge = time.Second

// Standing decides whether this host may grant tokens, as one of how many voters. A change of the group's membership reaches
// the voters at different times, and a host that is no voter any more learns of it last, or never; but it holds no valid
// proof of the control group for longer than Handover. Therefore a new voter waits for Handover, and a voter counts with the
// largest membership of that time.
type Standing struct {
	// Handover is longer than a voter that lost its connection to the control group grants tokens.
	Handover time.Duration

	voter    bool
	since    time.Duration
	voters   int
	former   []formerCount
	observed time.Duration
	contact  bool
	known    bool
}

// formerCount is a number of voters that counts until a time.
type formerCount struct {
	voters int
	until  time.Duration
}

// Members records the membership in the replica's log. settled is set if this host was a voter of the same membership
// before its start, or if the group was bootstrapped by this process.
func (s *Standing) Members(now time.Duration, voter bool, voters int, settled bool) {
	switch {
	case !s.known && settled:
		s.since = now - s.Handover
	case !s.known:
		// The membership before the start may have had one voter more: it changes by one at a time.
		s.since = now
		s.former = append(s.former, formerCount{voters + 1, now + s.Handover})
	case voter && !s.voter:
		s.since = now
	}
	if s.known && voters != s.voters {
		s.former = append(s.former, formerCount{s.voters, now + s.Handover})
	}
	s.known, s.voter, s.voters = true, voter, voters
}

// Observe records whether the replica is in contact with a leader, or leads.
func (s *Standing) Observe(now time.Duration, contact bool) { s.observed, s.contact = now, contact }

// Voter reports whether this host is a voter.
func (s *Standing) Voter() bool { return s.voter }

// Settled reports whether this host has been a voter for long enough to have a share.
func (s *Standing) Settled(now time.Duration) bool {
	return s.known && s.voter && now-s.since >= s.Handover
}

// Granting returns the number of voters that share the limits, or 0 if this host must not grant tokens.
func (s *Standing) Granting(now time.Duration) int {
	if !s.Settled(now) || !s.contact || now-s.observed > maxViewAge {
		return 0
	}
	n, kept := s.voters, s.former[:0]
	for _, f := range s.former {
		if now < f.until {
			n, kept = max(n, f.voters), append(kept, f)
		}
	}
	s.former = kept
	return n
}
