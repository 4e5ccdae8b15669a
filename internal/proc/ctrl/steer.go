package ctrl

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// foundByRule founds a group of which every founder knows the first members
// without a message: the founders' incarnations are fixed. Any majority of
// them can go on from there, whoever starts late or not at all.
func (r *Replica) foundByRule() error {
	founder := func(id tier.NodeID) tier.ReplicaID { return id.Replica(tier.FounderIncarnation) }
	if r.formed() || len(r.Founders) == 0 || r.core.ID != founder(r.Node) {
		return nil
	}
	m := quorum.Members{}
	for _, id := range r.Founders {
		m.Voters = append(m.Voters, founder(id))
	}
	return r.found(m)
}

// steer makes the first membership change that is due and allowed.
func (r *Replica) steer() {
	if !r.core.Serving() {
		return
	}
	now := r.Clock.Now()
	s := quorum.Steering{
		Members: r.core.Membership(), Hosts: r.Hosts(), Election: election, Tolerance: r.Tolerance,
	}
	s.Silent = func(id tier.ReplicaID) time.Duration { return r.core.Silent(now, id) }
	for _, step := range s.Steps() {
		if _, err := r.core.ChangeMembers(now, step.Next); err == nil {
			event.MembersChanged.Log(r.Log, nil, map[string]any{"step": step.Name, "replica": step.ID, "voters": step.Next.Voters})
			return
		}
	}
}
