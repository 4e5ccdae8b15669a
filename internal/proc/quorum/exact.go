package quorum

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// exactAfter is the minimum time between two snapshots of an earlier build of which the second is accepted, so that a
// message that arrives twice is not taken for two. Leaders send one each second.
const exactAfter = 500 * time.Millisecond

// unverifiedSnap identifies a snapshot of an earlier build that was not accepted.
type unverifiedSnap struct {
	from  tier.ReplicaID
	term  tier.Term
	index tier.Index
	at    time.Duration
}

// isExact reports whether the data of a snapshot holds every entry up to its index. The index of a leader of an earlier
// build covers the entries that the leader commits at that moment, but has yet to apply. If its next snapshot has the
// same index, it has committed nothing since and has applied all entries up to there.
func (c *Core) isExact(now time.Duration, m *Msg) bool {
	if m.Snap.Exact {
		return true
	}
	u := c.unverified
	if u.from == m.From && u.term == m.Term && u.index == m.Snap.Index {
		return now-u.at >= exactAfter
	}
	c.unverified = unverifiedSnap{from: m.From, term: m.Term, index: m.Snap.Index, at: now}
	return false
}
