package quorum

import (
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Membership returns the membership in use, committed or not.
func (c *Core) Membership() Members { return c.members }

func (c *Core) reloadMembers() {
	c.members, c.memberIdx = c.snapMem, c.log.snapIndex
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.Kind == EntryMembers {
			c.members, c.memberIdx = *e.Members, e.Index
			return
		}
	}
}

// ChangeMembers proposes next, which may differ from the membership in use by
// one voter or by learners only.
func (c *Core) ChangeMembers(now time.Duration, next Members) (tier.Index, error) {
	if !c.Serving() || c.transfer != "" {
		return 0, tier.ErrNotLeader
	}
	if c.memberIdx > c.commit {
		return 0, ErrBusyMembers
	}
	added, removed := voterDiff(c.members, next)
	if len(added)+len(removed) > 1 || len(next.Voters) == 0 {
		return 0, errors.New("one voter may change at a time")
	}
	for _, id := range added {
		p := c.peers[id]
		behind := p == nil || p.match < c.commit || now-p.heard >= c.Election
		if behind && !c.Unsafe.EarlyLearner {
			return 0, ErrNotCaughtUp
		}
	}
	e := Entry{Kind: EntryMembers, Members: &next}
	i := c.appendOwn(e)
	c.members, c.memberIdx = next, i
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

// MembersAt returns the membership as of index i, which must not be compacted.
func (c *Core) MembersAt(i tier.Index) Members {
	m := c.snapMem
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
