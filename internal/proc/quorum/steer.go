package quorum

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// MaxVoters bounds a group that steers itself: beyond nine, each entry
	// costs more copies than the losses to be borne ask for.
	MaxVoters = 9
	// RetireAfter is how long a voter must be silent before it may be retired;
	// it is above two election timeouts, so that a restart does not count.
	RetireAfter = 3 * time.Second
)

// Host is a live host of the fleet that can hold a replica. Without Disk its
// replica lasts no longer than its process.
type Host struct {
	Replica tier.ReplicaID
	Disk    bool
}

// Steering is what a leader goes by when it steers its own membership.
type Steering struct {
	// Members is the membership in use.
	Members Members
	// Hosts are the live hosts, as far as the leader knows.
	Hosts []Host
	// Silent returns for how long a member has not answered.
	Silent func(tier.ReplicaID) time.Duration
	// Election is the least election timeout: whoever was heard within it lives.
	Election time.Duration
	// Tolerance is the number of voters whose loss the group must bear.
	Tolerance int
}

// Step is a membership change on the way to a group in which every live host
// with a disk votes.
type Step struct {
	Next Members
	Name string
	ID   tier.ReplicaID
}

// Steps returns the changes that are due, most urgent first. The leader makes
// the first one that its log allows.
func (s *Steering) Steps() []Step {
	var steps []Step
	steps = append(steps, s.replacements()...)
	steps = append(steps, s.promotions()...)
	steps = append(steps, s.retirements()...)
	return append(steps, s.additions()...)
}

// replacements take out members whose host runs another incarnation now: a
// host that lost its disk. One that still answers is kept, whatever the hosts say.
func (s *Steering) replacements() []Step {
	var steps []Step
	for _, h := range s.Hosts {
		for _, old := range s.Members.All() {
			if old.Node() == h.Replica.Node() && old != h.Replica && s.Silent(old) >= s.Election {
				next := s.without(old)
				if !next.IsVoter(h.Replica) && !next.IsLearner(h.Replica) {
					next.Learners = append(next.Learners, h.Replica)
				}
				steps = append(steps, Step{next, "replace", h.Replica})
			}
		}
	}
	return steps
}

func (s *Steering) promotions() []Step {
	var steps []Step
	for _, id := range s.Members.Learners {
		if len(s.Members.Voters) < MaxVoters && s.Silent(id) < s.Election {
			next := Members{Learners: Without(s.Members.Learners, id)}
			next.Voters = append(append([]tier.ReplicaID(nil), s.Members.Voters...), id)
			steps = append(steps, Step{next, "promote", id})
		}
	}
	return steps
}

// retirements take out learners and voters that are silent, and voters without
// a disk where enough others have one. A voter goes only if those that remain
// all answer and bear as many losses as asked for.
func (s *Steering) retirements() []Step {
	var steps []Step
	for _, id := range s.Members.Learners {
		if s.Silent(id) >= RetireAfter {
			steps = append(steps, Step{s.without(id), "drop", id})
		}
	}
	for _, id := range s.Members.Voters {
		next := s.without(id)
		if (s.Silent(id) >= RetireAfter || s.diskless(id)) && s.sound(next.Voters) {
			steps = append(steps, Step{next, "retire", id})
		}
	}
	return steps
}

func (s *Steering) sound(voters []tier.ReplicaID) bool {
	for _, id := range voters {
		if s.Silent(id) >= s.Election {
			return false
		}
	}
	return (len(voters)-1)/2 >= max(s.Tolerance, 1)
}

func (s *Steering) diskless(id tier.ReplicaID) bool {
	for _, h := range s.Hosts {
		if h.Replica == id {
			return !h.Disk
		}
	}
	return false
}

func (s *Steering) additions() []Step {
	if len(s.Members.All()) >= MaxVoters {
		return nil
	}
	for _, h := range s.Hosts {
		if !h.Disk || s.holds(h.Replica.Node()) {
			continue
		}
		next := Members{Voters: s.Members.Voters}
		next.Learners = append(append([]tier.ReplicaID(nil), s.Members.Learners...), h.Replica)
		return []Step{{next, "add", h.Replica}}
	}
	return nil
}

// holds reports whether any incarnation of a node is a member.
func (s *Steering) holds(node tier.NodeID) bool {
	for _, id := range s.Members.All() {
		if id.Node() == node {
			return true
		}
	}
	return false
}

func (s *Steering) without(id tier.ReplicaID) Members {
	return Members{Voters: Without(s.Members.Voters, id), Learners: Without(s.Members.Learners, id)}
}

// Silent returns for how long a leader has not heard from a member.
func (c *Core) Silent(now time.Duration, id tier.ReplicaID) time.Duration {
	p := c.peers[id]
	if id == c.ID || p == nil {
		return 0
	}
	return now - p.heard
}
