package quorum

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// quorumActive reports whether a quorum has responded within the minimum election timeout. A new leader is given
// that long to collect the first responses.
func (c *Core) quorumActive(now time.Duration) bool {
	if now-c.leaderSince < c.Election {
		return true
	}
	n := 0
	for _, id := range c.members.Voters {
		if id == c.ID || now-c.peers[id].lastContact < c.Election {
			n++
		}
	}
	return n >= c.members.Quorum()
}

func (c *Core) campaign(now time.Duration, as Role) {
	c.role = as
	c.leader = ""
	c.resetTimer(now)
	c.votes = map[tier.ReplicaID]bool{c.ID: true}
	kind, term := MsgPreVote, c.hard.Term+1
	if as == Candidate {
		c.setHard(HardState{Term: term, Voted: c.ID})
		kind = MsgVote
	}
	if c.countVotes(now) {
		return
	}
	for _, id := range c.members.Voters {
		if id != c.ID {
			c.send(Msg{Kind: kind, To: id, Term: term, PrevIndex: c.log.last(), PrevTerm: c.log.lastTerm(), Transfer: c.transfer == c.ID})
		}
	}
}

// countVotes advances to the next role and returns true if a quorum has granted its votes.
func (c *Core) countVotes(now time.Duration) bool {
	n := 0
	for _, id := range c.members.Voters {
		if c.votes[id] {
			n++
		}
	}
	if n < c.members.Quorum() {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(now, Candidate)
	} else {
		c.becomeLeader(now)
	}
	return true
}

func (c *Core) becomeLeader(now time.Duration) {
	c.role = Leader
	c.leader = c.ID
	c.transfer = ""
	c.leaderSince = now
	c.round++
	c.peers = map[tier.ReplicaID]*progress{}
	c.syncPeers(now)
	c.appendLocal(Entry{Kind: EntryNoop})
	c.broadcast(now)
}

func (c *Core) syncPeers(now time.Duration) {
	for _, id := range c.members.All() {
		if c.peers[id] == nil {
			c.peers[id] = &progress{next: c.log.last() + 1, lastContact: now}
		}
	}
}

// TransferLeadership transfers leadership to the most up-to-date reachable voter, by asking it to campaign immediately.
// It does nothing if no reachable voter has the whole log.
func (c *Core) TransferLeadership(now time.Duration) {
	if c.role != Leader {
		return
	}
	var best tier.ReplicaID
	for _, id := range c.members.Voters {
		if id == c.ID || now-c.peers[id].lastContact >= c.Election {
			continue
		}
		if best == "" || c.peers[id].match > c.peers[best].match {
			best = id
		}
	}
	if best == "" || c.peers[best].match < c.log.last() {
		return
	}
	c.transfer = best
	c.send(Msg{Kind: MsgTimeoutNow, To: best})
}
