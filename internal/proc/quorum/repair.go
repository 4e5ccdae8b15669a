package quorum

import (
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// RepairStep returns the next membership on the way to id as a voter in the
// place of another incarnation of its node; step is "" where nothing is due.
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

// Without returns the list without id.
func Without(list []tier.ReplicaID, id tier.ReplicaID) []tier.ReplicaID {
	var out []tier.ReplicaID
	for _, r := range list {
		if r != id {
			out = append(out, r)
		}
	}
	return out
}
