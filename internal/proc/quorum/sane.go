package quorum

import "sassafrasring.dev/sassafrasring/pkg/tier"

// sane reports whether a message is one that a working replica can send. A
// broken one is dropped: it must not stop this replica or change its log.
func (c *Core) sane(m Msg) bool {
	switch m.Kind {
	case MsgAppend:
		return saneEntries(m)
	case MsgSnap:
		return m.Snap == nil || len(m.Snap.Members.Voters) > 0
	case MsgAppendResp:
		return c.role != Leader || m.Term != c.hard.Term || (m.Match <= c.log.last() && m.Round <= c.round)
	case MsgPreVote, MsgPreVoteResp, MsgVote, MsgVoteResp, MsgTimeoutNow:
	}
	return true
}

// saneEntries checks that the entries follow each other from PrevIndex on,
// with terms that do not fall, and that memberships have voters.
func saneEntries(m Msg) bool {
	term := m.PrevTerm
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+1+tier.Index(i) || e.Term < term || e.Term > m.Term {
			return false
		}
		if e.Kind == EntryMembers && (e.Members == nil || len(e.Members.Voters) == 0) {
			return false
		}
		term = e.Term
	}
	return true
}

// conflictsWithCommitted reports whether entries would replace a committed one.
func (c *Core) conflictsWithCommitted(es []Entry) bool {
	for _, e := range es {
		if e.Index > c.commit {
			return false
		}
		if t, ok := c.log.term(e.Index); ok && t != e.Term {
			return true
		}
	}
	return false
}
