package quorum

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Step handles a message from another replica. Invalid messages and messages addressed to another
// incarnation are dropped.
func (c *Core) Step(now time.Duration, m Msg) {
	if m.To != c.ID || !c.validMsg(m) {
		return
	}
	switch m.Kind {
	case MsgPreVote:
		c.stepPreVote(now, m)
	case MsgVote:
		c.stepVote(now, m)
	case MsgPreVoteResp, MsgVoteResp:
		c.stepVoteResp(now, m)
	case MsgAppend, MsgSnap:
		c.stepFromLeader(now, m)
	case MsgAppendResp:
		c.stepAppendResp(now, m)
	case MsgTimeoutNow:
		c.stepTimeoutNow(now, m)
	}
}

func (c *Core) upToDate(m Msg) bool {
	if m.PrevTerm != c.log.lastTerm() {
		return m.PrevTerm > c.log.lastTerm()
	}
	return m.PrevIndex >= c.log.last()
}

// hasLiveLeader reports whether a live leader's lease forbids votes for others.
func (c *Core) hasLiveLeader(now time.Duration) bool {
	if c.role == Leader {
		return c.quorumActive(now)
	}
	return c.leader != "" && now-c.lastContact < c.Election
}

func (c *Core) stepPreVote(now time.Duration, m Msg) {
	ok := m.Term > c.hard.Term && c.upToDate(m) && (m.Transfer || !c.hasLiveLeader(now))
	term := c.hard.Term
	if ok {
		term = m.Term
	}
	c.send(Msg{Kind: MsgPreVoteResp, To: m.From, Term: term, Reject: !ok})
}

func (c *Core) stepVote(now time.Duration, m Msg) {
	if !m.Transfer && c.hasLiveLeader(now) && m.Term > c.hard.Term {
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, "")
	}
	ok := m.Term == c.hard.Term && c.upToDate(m) && (c.hard.Voted == "" || c.hard.Voted == m.From)
	if ok {
		c.setHard(HardState{Term: c.hard.Term, Voted: m.From})
		c.resetTimer(now)
	}
	c.send(Msg{Kind: MsgVoteResp, To: m.From, Reject: !ok})
}

func (c *Core) stepVoteResp(now time.Duration, m Msg) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.becomeFollower(now, m.Term, "")
		}
		return
	}
	preVoteGranted := m.Kind == MsgPreVoteResp && c.role == PreCandidate && m.Term == c.hard.Term+1
	voteGranted := m.Kind == MsgVoteResp && c.role == Candidate && m.Term == c.hard.Term
	if preVoteGranted || voteGranted {
		c.votes[m.From] = true
		c.countVotes(now)
	}
}

func (c *Core) stepTimeoutNow(now time.Duration, m Msg) {
	if m.Term < c.hard.Term || !c.members.IsVoter(c.ID) {
		return
	}
	c.transfer = c.ID
	c.campaign(now, Candidate)
}

func (c *Core) stepFromLeader(now time.Duration, m Msg) {
	if m.Term < c.hard.Term {
		c.send(Msg{Kind: MsgAppendResp, To: m.From, Reject: true, Round: m.Round, Match: c.log.last()})
		return
	}
	if m.Term > c.hard.Term || c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.resetTimer(now)
	if m.Kind == MsgSnap {
		c.stepSnap(now, m)
		return
	}
	c.stepAppend(m)
}

func (c *Core) stepAppend(m Msg) {
	if m.PrevIndex < c.log.snapIndex {
		c.send(Msg{Kind: MsgAppendResp, To: m.From, Round: m.Round, Match: c.commit})
		return
	}
	t, ok := c.log.term(m.PrevIndex)
	if !ok || t != m.PrevTerm {
		hint := min(c.log.last(), m.PrevIndex-1)
		c.send(Msg{Kind: MsgAppendResp, To: m.From, Reject: true, Round: m.Round, Match: max(hint, c.commit)})
		return
	}
	if c.conflictsWithCommitted(m.Entries) {
		return
	}
	c.mergeEntries(m.Entries)
	last := m.PrevIndex + tier.Index(len(m.Entries))
	c.setCommit(min(m.Commit, last))
	c.send(Msg{Kind: MsgAppendResp, To: m.From, Round: m.Round, Match: last})
}

func (c *Core) mergeEntries(es []Entry) {
	for i, e := range es {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.log.truncate(e.Index)
		}
		c.log.append(es[i:]...)
		c.effects.Entries = append(c.effects.Entries, es[i:]...)
		c.reloadMembers()
		return
	}
}

func (c *Core) stepSnap(now time.Duration, m Msg) {
	if m.Snap == nil || m.Snap.Index <= c.commit || !c.isExact(now, &m) {
		c.send(Msg{Kind: MsgAppendResp, To: m.From, Round: m.Round, Match: c.commit})
		return
	}
	s := *m.Snap
	s.Exact = true
	c.resetLog(&s)
	c.snapMembers = s.Members
	c.reloadMembers()
	c.commit, c.applied = s.Index, s.Index
	c.effects.Install = &s
	c.effects.Entries, c.effects.Committed = c.log.slice(s.Index+1, len(c.log.entries)), nil
	c.send(Msg{Kind: MsgAppendResp, To: m.From, Round: m.Round, Match: s.Index})
}

// resetLog makes the log start at a snapshot. Entries that follow an entry of the snapshot's index and term are kept: the
// leader may have counted this replica's acknowledgement of them, and the snapshot may have been delayed.
func (c *Core) resetLog(s *Snap) {
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.log.compact(s.Index)
		return
	}
	c.log.reset(s.Index, s.Term)
}

func (c *Core) stepAppendResp(now time.Duration, m Msg) {
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, "")
		return
	}
	p := c.peers[m.From]
	if c.role != Leader || m.Term != c.hard.Term || p == nil {
		return
	}
	p.lastContact = now
	if m.Round > p.round {
		p.round = m.Round
		c.finishReads()
	}
	if m.Reject {
		p.next = max(p.match, min(p.next-1, m.Match)) + 1
		c.sendAppend(m.From)
		return
	}
	if m.Match > p.match {
		p.match = m.Match
		c.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	if p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
}
