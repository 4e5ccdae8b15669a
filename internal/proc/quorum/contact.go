package quorum

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// MembersIndex returns the index of the log entry that set the membership, or that of the snapshot that contains it.
func (c *Core) MembersIndex() tier.Index { return c.membersIndex }

// InContact reports whether this replica leads with a quorum, or has heard from a leader within an election timeout.
func (c *Core) InContact(now time.Duration) bool {
	if c.role == Leader {
		return c.quorumActive(now)
	}
	return c.role == Follower && c.hasLiveLeader(now)
}
