package quota

import "time"

const (
	// ContactWindow is how long a voter grants tokens after the last contact with a leader, which itself counts for an
	// election timeout of 0.7 s. Elections take less than that together.
	ContactWindow = 2 * time.Second
	// Handover is the time within which a host that is no voter any more stops granting tokens, and the other voters count
	// with the new membership: a leader without a quorum sends messages for another 0.7 s at most, they may wait for
	// maxObserveGap at a host that was suspended, and count for 0.7 s and for ContactWindow. The proof of the control group,
	// if it is required, expires sooner.
	Handover = 5 * time.Second
	// maxObserveGap is the longest time between two observations of a host that runs undisturbed.
	maxObserveGap = time.Second
	// resumeDelay is how long contact does not count after a suspension, because messages of a former leader may have waited,
	// and after a start or a loss of contact: the host may have been removed and added again, and its log tells so only when it has
	// caught up.
	resumeDelay = time.Second
)

// Standing decides whether this host may grant tokens, as one of how many voters. Changes of the group's membership reach the
// voters at different times, and a host that is no voter any more may never learn of it, but stops within Handover, for lack
// of contact. Therefore a new voter waits for Handover, and all voters count with the largest membership of that time.
type Standing struct {
	known, voter bool
	since        time.Duration
	voters       int
	former       []formerCount
	// observed is the time of the last observation, contact that of the last one with contact; contact before notBefore does
	// not count.
	observed, contact, notBefore time.Duration
	contacted                    bool
	// returning is set while contact is back after it was lost, and does not count yet.
	returning bool
	// fresh is set if the group was bootstrapped by this process.
	fresh bool
	// recalls is when this host knows all memberships of the last Handover; those from before its start are lost.
	recalls time.Duration
}

// formerCount is a number of voters that counts until a time.
type formerCount struct {
	voters int
	until  time.Duration
}

// Members records the membership in the replica's log. settled is set if this host was Stable in this membership before its
// start, or if the group was bootstrapped by this process.
func (s *Standing) Members(now time.Duration, voter bool, voters int, settled bool) {
	switch {
	case !s.known && settled:
		s.since = now - Handover
	case !s.known:
		s.since = now
		if voters > 0 {
			s.recalls = now + Handover
		}
	case voter && !s.voter:
		s.since = now
	}
	if s.known && voters != s.voters {
		s.former = append(s.former, formerCount{s.voters, now + Handover})
	}
	s.known, s.voter, s.voters = true, voter, voters
}

// Bootstrapped records that the group was bootstrapped by this process: its log lacks nothing at the first contact.
func (s *Standing) Bootstrapped() { s.fresh = true }

// Settle ends the wait of a new voter: all other voters are Counting with a membership that contains this host.
func (s *Standing) Settle(now time.Duration) {
	if s.Counting(now) {
		s.since = min(s.since, now-Handover)
	}
}

// Resume must be called before the first Observe, and before the first one after a pause of the observations.
func (s *Standing) Resume(now time.Duration) { s.observed = now }

// Observe records whether the replica leads or hears from a leader. It must be called every few hundred milliseconds.
func (s *Standing) Observe(now time.Duration, contact bool) {
	if now-s.observed > maxObserveGap {
		s.notBefore = now + resumeDelay
	}
	s.observed = now
	lost := s.contacted && now-s.contact > ContactWindow || !s.contacted && !s.fresh
	if contact && lost && !s.returning {
		s.notBefore = max(s.notBefore, now+resumeDelay)
	}
	s.returning = contact && lost
	if contact && now >= s.notBefore {
		s.contact, s.contacted = now, true
	}
}

// Voter reports whether this host is a voter.
func (s *Standing) Voter() bool { return s.voter }

// Settled reports whether this host has been a voter for long enough to have a share.
func (s *Standing) Settled(now time.Duration) bool {
	return s.known && s.voter && now-s.since >= Handover
}

// Counting reports whether this host counts with the current membership, if it grants at all: former ones with more voters do
// not count any more, and none was forgotten in a restart.
func (s *Standing) Counting(now time.Duration) bool {
	return s.known && now >= s.recalls && s.count(now) == s.voters
}

// Stable reports whether this host has a share and no former membership counts any more.
func (s *Standing) Stable(now time.Duration) bool {
	n := s.Granting(now)
	return n > 0 && n == s.voters && len(s.former) == 0
}

// Granting returns the number of voters that share the limits, or 0 if this host must not grant tokens.
func (s *Standing) Granting(now time.Duration) int {
	if !s.Settled(now) || !s.contacted || now-s.contact > ContactWindow {
		return 0
	}
	return s.count(now)
}

// count returns the largest number of voters that counts.
func (s *Standing) count(now time.Duration) int {
	n, kept := s.voters, s.former[:0]
	for _, f := range s.former {
		if now < f.until {
			n, kept = max(n, f.voters), append(kept, f)
		}
	}
	s.former = kept
	return n
}
