package proof

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// lendersPerReplica is the number of hosts, for each control replica, that ask replicas and lend to the other hosts. It
// bounds the questions to a replica however many hosts there are; fleets of up to a hundred hosts need no lenders.
const lendersPerReplica = 16

// Peer is a live host other than this one.
type Peer struct {
	ID      tier.NodeID
	Replica bool
}

// Preferred returns the peers in the order in which a host without a replica asks them. The first ones are replicas for the
// lenders, and lenders for the other hosts. Each host has its own order, which changes little when a host comes or goes.
func Preferred(self tier.NodeID, peers []Peer) []tier.NodeID {
	replicas, ranks := 0, []uint64(nil)
	for _, p := range peers {
		if p.Replica {
			replicas++
		} else {
			ranks = append(ranks, rank(p.ID))
		}
	}
	limit := uint64(1<<64 - 1)
	if lenders := lendersPerReplica * replicas; lenders <= len(ranks) && lenders > 0 {
		slices.Sort(ranks)
		limit = ranks[lenders-1]
	}
	fromReplicas := replicas > 0 && rank(self) <= limit
	type choice struct {
		id     tier.NodeID
		first  bool
		weight uint64
	}
	list := make([]choice, 0, len(peers))
	own := rank(self)
	for _, p := range peers {
		r := rank(p.ID)
		first := p.Replica == fromReplicas && (p.Replica || r <= limit)
		list = append(list, choice{p.ID, first, mix(own, r)})
	}
	slices.SortFunc(list, func(a, b choice) int {
		if a.first != b.first {
			if a.first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.weight, b.weight)
	})
	out := make([]tier.NodeID, len(list))
	for i, c := range list {
		out[i] = c.id
	}
	return out
}

func rank(id tier.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x := (a ^ bits.RotateLeft64(b, 32)) * odd
	return (x ^ x>>32) * odd
}
