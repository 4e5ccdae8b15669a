// Package quorum implements a Raft-style replicated log: elections with pre-vote, log replication,
// quorum-confirmed reads, snapshots, learners and membership changes of one voter at a time.
// It performs no I/O and reads no clock: the caller passes in messages and the time, and carries out the
// returned effects.
package quorum

import (
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	EntryCommand EntryKind = iota
	EntryNoop
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   tier.Index `cbor:"1,keyasint"`
	Term    tier.Term  `cbor:"2,keyasint"`
	Kind    EntryKind  `cbor:"3,keyasint,omitempty"`
	Data    []byte     `cbor:"4,keyasint,omitempty"`
	Members *Members   `cbor:"5,keyasint,omitempty"`
}

// Members is the membership of the control group. Learners receive the log but do not count towards a quorum.
type Members struct {
	Voters   []tier.ReplicaID `cbor:"1,keyasint" json:"voters"`
	Learners []tier.ReplicaID `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
}

// HardState is the election state that a replica must persist before it sends any message that depends on it.
type HardState struct {
	Term  tier.Term      `cbor:"1,keyasint"`
	Voted tier.ReplicaID `cbor:"2,keyasint,omitempty"`
}

// Snap is a snapshot of the state machine up to and including Index.
type Snap struct {
	Index   tier.Index `cbor:"1,keyasint"`
	Term    tier.Term  `cbor:"2,keyasint"`
	Members Members    `cbor:"3,keyasint"`
	Data    []byte     `cbor:"4,keyasint"`
	// Exact is set if Data holds every entry up to Index. In a snapshot of an earlier build Index may be ahead of Data.
	Exact bool `cbor:"5,keyasint,omitempty"`
}

// MsgKind is the kind of a message between replicas.
type MsgKind uint8

// Message kinds.
const (
	MsgPreVote MsgKind = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgSnap
	MsgTimeoutNow
)

// Msg is a message between two replicas. To identifies an incarnation: a replica that lost its disk drops
// messages addressed to its former incarnation.
type Msg struct {
	Kind      MsgKind        `cbor:"1,keyasint"`
	From      tier.ReplicaID `cbor:"2,keyasint"`
	To        tier.ReplicaID `cbor:"3,keyasint"`
	Term      tier.Term      `cbor:"4,keyasint"`
	PrevIndex tier.Index     `cbor:"5,keyasint,omitempty"`
	PrevTerm  tier.Term      `cbor:"6,keyasint,omitempty"`
	Commit    tier.Index     `cbor:"7,keyasint,omitempty"`
	Entries   []Entry        `cbor:"8,keyasint,omitempty"`
	Reject    bool           `cbor:"9,keyasint,omitempty"`
	Match     tier.Index     `cbor:"10,keyasint,omitempty"`
	Round     uint64         `cbor:"11,keyasint,omitempty"`
	Snap      *Snap          `cbor:"12,keyasint,omitempty"`
	Transfer  bool           `cbor:"13,keyasint,omitempty"`
}

// Effects lists the actions that the caller must carry out, in this order: persist and sync Hard, Install (which
// replaces the log and the state) and Entries, then send Messages, then apply Committed, then complete Reads.
type Effects struct {
	Hard      *HardState
	Entries   []Entry
	Messages  []Msg
	Install   *Snap
	Committed []Entry
	Reads     []ReadDone
}

// ReadDone is the result of a read: confirmed by a quorum, to be served once Index is applied, or failed because
// the replica lost leadership.
type ReadDone struct {
	ID     uint64
	Index  tier.Index
	Failed bool
}

// Role is the role of a replica.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

func contains(list []tier.ReplicaID, id tier.ReplicaID) bool {
	for _, r := range list {
		if r == id {
			return true
		}
	}
	return false
}

// IsVoter reports whether id votes.
func (m Members) IsVoter(id tier.ReplicaID) bool { return contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Members) IsLearner(id tier.ReplicaID) bool { return contains(m.Learners, id) }

// All returns voters and learners.
func (m Members) All() []tier.ReplicaID {
	all := make([]tier.ReplicaID, 0, len(m.Voters)+len(m.Learners))
	all = append(all, m.Voters...)
	return append(all, m.Learners...)
}

// Quorum returns the size of a majority of the voters.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }
