package ctrl

import (
	"context"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Membership is what a replica knows of its part in the group.
type Membership struct {
	Replica tier.ReplicaID
	// Index is the log entry that set the membership, committed or not.
	Index tier.Index
	// Voter is set if the replica is a voter; Voters are the nodes of all.
	Voter  bool
	Voters []tier.NodeID
	// Bootstrapped is set if this replica created the group since it was opened.
	Bootstrapped bool
}

// notifyMembers calls MembersChanged if the membership in the log is another one than before.
func (r *Replica) notifyMembers() {
	i := r.core.MembersIndex()
	// An entry that was not committed may be replaced by another one with the same index.
	term := r.core.TermAt(i)
	if r.MembersChanged == nil || r.notified && r.notifiedIndex == i && r.notifiedTerm == term {
		return
	}
	r.notified, r.notifiedIndex, r.notifiedTerm = true, i, term
	m := r.core.Membership()
	out := Membership{Replica: r.core.ID, Index: i, Voter: m.IsVoter(r.core.ID), Bootstrapped: r.bootstrapped}
	for _, id := range m.Voters {
		out.Voters = append(out.Voters, id.Node())
	}
	r.MembersChanged(out)
}

// InContact reports whether the replica leads with a quorum, or has heard from a leader within an election timeout. committed
// is the index of the membership in the log if it is committed, otherwise 0.
func (r *Replica) InContact(ctx context.Context) (contact bool, committed tier.Index) {
	var in bool
	var members tier.Index
	err := r.runInLoop(ctx, func() {
		in = r.core.InContact(r.Clock.Now())
		if i := r.core.MembersIndex(); i <= r.core.Applied() {
			members = i
		}
	})
	if err != nil {
		return false, 0
	}
	return in, members
}
