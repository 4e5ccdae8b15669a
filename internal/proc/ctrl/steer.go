package ctrl

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// bootstrapFromFounders creates a group without exchanging messages: the replica IDs of the founders are fixed, so every
// founder knows the initial members. Any majority of the founders can elect a leader, even if the others start late or
// never.
func (r *Replica) bootstrapFromFounders() error {
	founder := func(id tier.NodeID) tier.ReplicaID { return id.Replica(tier.FounderIncarnation) }
	if r.hasState() || len(r.InitialVoters) == 0 || r.core.ID != founder(r.Node) {
		return nil
	}
	m := quorum.Members{}
	for _, id := range r.InitialVoters {
		m.Voters = append(m.Voters, founder(id))
	}
	return r.bootstrap(m)
}

// adjustMembers makes the first pending membership change that the core allows.
func (r *Replica) adjustMembers() {
	if !r.core.Serving() {
		return
	}
	now := r.Clock.Now()
	s := quorum.MembershipPlanner{
		Members: r.core.Membership(), Hosts: r.Hosts(), Election: electionTimeout, Tolerance: r.Tolerance,
	}
	s.SilentFor = func(id tier.ReplicaID) time.Duration { return r.core.SilentFor(now, id) }
	for _, step := range s.Changes() {
		if _, err := r.core.ChangeMembers(now, step.Next); err == nil {
			event.MembersChanged.Log(r.Log, nil, map[string]any{"step": step.Name, "replica": step.ID, "voters": step.Next.Voters})
			return
		}
	}
}
