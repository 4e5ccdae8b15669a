package quorum

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// MaxVoters limits the size of a group that manages its own membership. With more than nine voters each
	// entry is copied more often than the required fault tolerance justifies.
	MaxVoters = 9
	// RetireAfter is how long a member must be unresponsive before it may be removed. It exceeds two election
	// timeouts, so that a member that only restarts is kept.
	RetireAfter = 3 * time.Second
)

// Host is a live host of the fleet that can run a replica. Without Disk, the replica's state is lost when its
// process ends.
type Host struct {
	Replica tier.ReplicaID
	Disk    bool
}

// MembershipPlanner determines a leader's next changes to its group's membership.
type MembershipPlanner struct {
	// Members is the current membership, committed or not.
	Members Members
	// Hosts are the live hosts known to the leader.
	Hosts []Host
	// SilentFor returns the time since a member last responded.
	SilentFor func(tier.ReplicaID) time.Duration
	// Election is the minimum election timeout. A member that responded within it counts as live.
	Election time.Duration
	// Tolerance is the number of voters whose failure the group must tolerate.
	Tolerance int
}

// MembershipChange is one step towards a group in which every live host with a disk is a voter.
type MembershipChange struct {
	Next Members
	Name string
	ID   tier.ReplicaID
}

// Changes returns the changes to make, most urgent first. The leader proposes them in order until one is accepted.
func (s *MembershipPlanner) Changes() []MembershipChange {
	var steps []MembershipChange
	steps = append(steps, s.replacements()...)
	steps = append(steps, s.promotions()...)
	steps = append(steps, s.retirements()...)
	return append(steps, s.additions()...)
}

// replacements returns changes that remove members whose host now runs another incarnation because it lost its
// disk. A member that still responds is kept, even if the list of hosts names another incarnation.
func (s *MembershipPlanner) replacements() []MembershipChange {
	var steps []MembershipChange
	for _, h := range s.Hosts {
		for _, old := range s.Members.All() {
			if old.Node() == h.Replica.Node() && old != h.Replica && s.SilentFor(old) >= s.Election {
				next := s.without(old)
				if !next.IsVoter(h.Replica) && !next.IsLearner(h.Replica) {
					next.Learners = append(next.Learners, h.Replica)
				}
				steps = append(steps, MembershipChange{next, "replace", h.Replica})
			}
		}
	}
	return steps
}

func (s *MembershipPlanner) promotions() []MembershipChange {
	var steps []MembershipChange
	for _, id := range s.Members.Learners {
		if len(s.Members.Voters) < MaxVoters && s.SilentFor(id) < s.Election {
			next := Members{Learners: Without(s.Members.Learners, id)}
			next.Voters = append(append([]tier.ReplicaID(nil), s.Members.Voters...), id)
			steps = append(steps, MembershipChange{next, "promote", id})
		}
	}
	return steps
}

// retirements returns changes that remove unresponsive learners and voters, and voters without a disk. A voter
// is removed only if all remaining voters respond and they can still tolerate the required number of failures.
func (s *MembershipPlanner) retirements() []MembershipChange {
	var steps []MembershipChange
	for _, id := range s.Members.Learners {
		if s.SilentFor(id) >= RetireAfter {
			steps = append(steps, MembershipChange{s.without(id), "drop", id})
		}
	}
	for _, id := range s.Members.Voters {
		next := s.without(id)
		if (s.SilentFor(id) >= RetireAfter || s.diskless(id)) && s.toleratesLosses(next.Voters) {
			steps = append(steps, MembershipChange{next, "retire", id})
		}
	}
	return steps
}

func (s *MembershipPlanner) toleratesLosses(voters []tier.ReplicaID) bool {
	for _, id := range voters {
		if s.SilentFor(id) >= s.Election {
			return false
		}
	}
	return (len(voters)-1)/2 >= max(s.Tolerance, 1)
}

func (s *MembershipPlanner) diskless(id tier.ReplicaID) bool {
	for _, h := range s.Hosts {
		if h.Replica == id {
			return !h.Disk
		}
	}
	return false
}

func (s *MembershipPlanner) additions() []MembershipChange {
	if len(s.Members.All()) >= MaxVoters {
		return nil
	}
	for _, h := range s.Hosts {
		if !h.Disk || s.hasNode(h.Replica.Node()) {
			continue
		}
		next := Members{Voters: s.Members.Voters}
		next.Learners = append(append([]tier.ReplicaID(nil), s.Members.Learners...), h.Replica)
		return []MembershipChange{{next, "add", h.Replica}}
	}
	return nil
}

// hasNode reports whether any incarnation of node is a member.
func (s *MembershipPlanner) hasNode(node tier.NodeID) bool {
	for _, id := range s.Members.All() {
		if id.Node() == node {
			return true
		}
	}
	return false
}

func (s *MembershipPlanner) without(id tier.ReplicaID) Members {
	return Members{Voters: Without(s.Members.Voters, id), Learners: Without(s.Members.Learners, id)}
}

// SilentFor returns the time since the leader last received a response from a member. It is 0 for the leader itself
// and for a replica that is not a member.
func (c *Core) SilentFor(now time.Duration, id tier.ReplicaID) time.Duration {
	p := c.peers[id]
	if id == c.ID || p == nil {
		return 0
	}
	return now - p.lastContact
}
