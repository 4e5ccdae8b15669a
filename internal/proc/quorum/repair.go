package quorum

import (
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// RepairStep returns the next membership change that replaces another incarnation of id's node by id: first
// "replace", which adds id as a learner, then "promote", which makes it a voter. step is "" if id is already a
// voter or its node is not a member.
func RepairStep(m Members, id tier.ReplicaID) (next Members, step string) {
	if m.IsVoter(id) {
		return m, ""
	}
	if m.IsLearner(id) {
		next.Learners = Without(m.Learners, id)
		next.Voters = append(append([]tier.ReplicaID(nil), m.Voters...), id)
		return next, "promote"
	}
	for _, old := range m.All() {
		if old.Node() == id.Node() {
			next.Voters, next.Learners = Without(m.Voters, old), append(Without(m.Learners, old), id)
			return next, "replace"
		}
	}
	return m, ""
}

// Without returns a copy of list without id.
func Without(list []tier.ReplicaID, id tier.ReplicaID) []tier.ReplicaID {
	var out []tier.ReplicaID
	for _, r := range list {
		if r != id {
			out = append(out, r)
		}
	}
	return out
}
