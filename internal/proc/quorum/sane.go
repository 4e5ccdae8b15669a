package quorum

import "sassafrasring.dev/sassafrasring/pkg/tier"

// validMsg reports whether a correct replica could have sent m. Step drops any other message, so that a faulty
// peer can neither crash this replica nor corrupt its log.
func (c *Core) validMsg(m Msg) bool {
	switch m.Kind {
	case MsgAppend:
		return validEntries(m)
	case MsgSnap:
		return m.Snap == nil || len(m.Snap.Members.Voters) > 0
	case MsgAppendResp:
		return c.role != Leader || m.Term != c.hard.Term || (m.Match <= c.log.last() && m.Round <= c.round)
	case MsgPreVote, MsgPreVoteResp, MsgVote, MsgVoteResp, MsgTimeoutNow:
	}
	return true
}

// validEntries reports whether the entries' indexes are consecutive from PrevIndex+1, their terms do not decrease
// or exceed the message's, and every membership has voters.
func validEntries(m Msg) bool {
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

// conflictsWithCommitted reports whether es would overwrite a committed entry with one of another term.
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
