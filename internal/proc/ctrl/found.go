package ctrl

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Greeting announces to the other control hosts the replica incarnation that runs on a node, and whether it holds the
// state of a cluster.
type Greeting struct {
	Replica tier.ReplicaID `cbor:"1,keyasint"`
	Formed  bool           `cbor:"2,keyasint"`
}

// bootstrapTerm is the term of the first log entry, which sets the initial members.
const bootstrapTerm tier.Term = 1

func (r *Replica) hasState() bool { return r.core.Term() > 0 || r.core.LastIndex() > 0 }

func (r *Replica) greet() {
	b, err := frame.Marshal(Greeting{Replica: r.core.ID, Formed: r.hasState()})
	if err != nil {
		return
	}
	for _, p := range r.Peers {
		if p.Node != r.Node {
			r.Greet.Send(p.Node, b)
		}
	}
	r.maybeBootstrap()
	r.maybeReplaceVoter()
}

// HandleGreeting handles an encoded greeting from another control host.
func (r *Replica) HandleGreeting(from tier.NodeID, b []byte) {
	var g Greeting
	if frame.Unmarshal(b, &g) != nil || g.Replica.Node() != from {
		return
	}
	select {
	case r.loopCalls <- func() { r.greetings[from] = g }:
	case <-r.stopped:
	}
}

// maybeBootstrap creates a cluster once every control host from the settings has sent a greeting and none holds state.
// A host that lost its disk therefore never creates a second cluster next to its former one.
func (r *Replica) maybeBootstrap() {
	if !r.Bootstrap || r.hasState() {
		return
	}
	m := quorum.Members{}
	for _, p := range r.Peers {
		id := r.core.ID
		if p.Node != r.Node {
			g, ok := r.greetings[p.Node]
			if !ok || g.Formed {
				return
			}
			id = g.Replica
		}
		m.Voters = append(m.Voters, id)
	}
	if err := r.bootstrap(m); err != nil {
		event.DiskFailed.Log(r.Log, err, nil)
	}
}

// bootstrap writes m to disk as the first log entry and starts the core from it.
func (r *Replica) bootstrap(m quorum.Members) error {
	hard := quorum.HardState{Term: bootstrapTerm}
	entries := []quorum.Entry{{Index: 1, Term: bootstrapTerm, Kind: quorum.EntryMembers, Members: &m}}
	if err := r.Folder.Save(&hard, entries); err != nil {
		return err
	}
	r.hard = hard
	r.core.Start(r.Clock.Now(), hard, quorum.Snap{}, entries)
	r.bootstrapped = true
	event.ClusterFounded.Log(r.Log, nil, logrus.Fields{"voters": m.Voters})
	return nil
}

// maybeReplaceVoter replaces a voter that lost its disk. A replica that restarts with an empty disk announces a new
// replica id in its greetings, which has the same node but a new incarnation. Each call takes at most one step: replace
// the old id by the new one, which becomes a learner, or promote the learner to voter once it has caught up.
func (r *Replica) maybeReplaceVoter() {
	if !r.core.Serving() {
		return
	}
	m := r.core.Membership()
	for _, p := range r.Peers {
		g, ok := r.greetings[p.Node]
		if !ok || p.Node == r.Node {
			continue
		}
		if next, step := quorum.RepairStep(m, g.Replica); step != "" {
			r.changeMembers(next, step, g.Replica)
			return
		}
	}
}

func (r *Replica) changeMembers(next quorum.Members, step string, id tier.ReplicaID) {
	_, err := r.core.ChangeMembers(r.Clock.Now(), next)
	if err != nil {
		return
	}
	event.MembersChanged.Log(r.Log, nil, logrus.Fields{"step": step, "replica": id})
}

// AddMember adds the control host on a node as a learner. The host must have sent a greeting; it is promoted to voter
// once it has caught up.
func (r *Replica) AddMember(ctx context.Context, node tier.NodeID) error {
	var err error
	e := r.runInLoop(ctx, func() {
		g, ok := r.greetings[node]
		m := r.core.Membership()
		switch {
		case !ok:
			err = errors.Errorf("control host %q has not been heard from", node)
		case m.IsVoter(g.Replica) || m.IsLearner(g.Replica):
			err = errors.Errorf("control host %q is a member already", node)
		default:
			m.Learners = append(append([]tier.ReplicaID(nil), m.Learners...), g.Replica)
			_, err = r.core.ChangeMembers(r.Clock.Now(), m)
		}
	})
	if e != nil {
		return e
	}
	return err
}

// RemoveMember removes the control host on a node from the members.
func (r *Replica) RemoveMember(ctx context.Context, node tier.NodeID) error {
	var err error
	e := r.runInLoop(ctx, func() {
		m := r.core.Membership()
		for _, id := range m.All() {
			if id.Node() == node {
				next := quorum.Members{Voters: quorum.Without(m.Voters, id), Learners: quorum.Without(m.Learners, id)}
				_, err = r.core.ChangeMembers(r.Clock.Now(), next)
				delete(r.greetings, node)
				return
			}
		}
		err = errors.Errorf("no control host %q among the members", node)
	})
	if e != nil {
		return e
	}
	return err
}
