package quorum

import (
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Membership returns the latest membership in the log, committed or not.
func (c *Core) Membership() Members { return c.members }

func (c *Core) reloadMembers() {
	c.members, c.membersIndex = c.snapMembers, c.log.snapIndex
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.Kind == EntryMembers {
			c.members, c.membersIndex = *e.Members, e.Index
			return
		}
	}
}

// ChangeMembers proposes next as the new membership. It may differ from the current one by at most one voter, and
// by any number of learners. A new voter must have caught up with the commit index.
func (c *Core) ChangeMembers(now time.Duration, next Members) (tier.Index, error) {
	if !c.Serving() || c.transfer != "" {
		return 0, tier.ErrNotLeader
	}
	if c.membersIndex > c.commit {
		return 0, ErrMembershipChangePending
	}
	added, removed := voterDiff(c.members, next)
	if len(added)+len(removed) > 1 || len(next.Voters) == 0 {
		return 0, errors.New("one voter may change at a time")
	}
	for _, id := range added {
		p := c.peers[id]
		lagging := p == nil || p.match < c.commit || now-p.lastContact >= c.Election
		if lagging && !c.Unsafe.EarlyLearner {
			return 0, ErrNotCaughtUp
		}
	}
	e := Entry{Kind: EntryMembers, Members: &next}
	i := c.appendLocal(e)
	c.members, c.membersIndex = next, i
	c.syncPeers(now)
	c.broadcast(now)
	return i, nil
}

func voterDiff(old, next Members) (added, removed []tier.ReplicaID) {
	for _, id := range next.Voters {
		if !old.IsVoter(id) {
			added = append(added, id)
		}
	}
	for _, id := range old.Voters {
		if !next.IsVoter(id) {
			removed = append(removed, id)
		}
	}
	return added, removed
}

// MembersAt returns the membership as of index i, which must not be before the snapshot.
func (c *Core) MembersAt(i tier.Index) Members {
	m := c.snapMembers
	for _, e := range c.log.entries {
		if e.Index > i {
			break
		}
		if e.Kind == EntryMembers {
			m = *e.Members
		}
	}
	return m
}
