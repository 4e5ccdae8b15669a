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

// Greeting tells the other control hosts which incarnation runs on a node,
// and whether it holds any state of a cluster.
type Greeting struct {
	Replica tier.ReplicaID `cbor:"1,keyasint"`
	Formed  bool           `cbor:"2,keyasint"`
}

// foundTerm is the term of the entry that founds a cluster.
const foundTerm tier.Term = 1

func (r *Replica) formed() bool { return r.core.Term() > 0 || r.core.LastIndex() > 0 }

func (r *Replica) greet() {
	b, err := frame.Marshal(Greeting{Replica: r.core.ID, Formed: r.formed()})
	if err != nil {
		return
	}
	for _, p := range r.Peers {
		if p.Node != r.Node {
			r.Greet.Send(p.Node, b)
		}
	}
	r.tryFound()
	r.tryRepair()
}

// Greeted takes a greeting of another control host.
func (r *Replica) Greeted(from tier.NodeID, b []byte) {
	var g Greeting
	if frame.Unmarshal(b, &g) != nil || g.Replica.Node() != from {
		return
	}
	select {
	case r.calls <- func() { r.greetings[from] = g }:
	case <-r.stopped:
	}
}

// tryFound founds a cluster when every control host of the settings has been
// heard from and none holds state. A host that lost its disk thus never
// founds a second cluster beside its old one.
func (r *Replica) tryFound() {
	if !r.Found || r.formed() {
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
	if err := r.found(m); err != nil {
		event.DiskFailed.Log(r.Log, err, nil)
	}
}

// found makes m durable as the first entry of the log and starts from it.
func (r *Replica) found(m quorum.Members) error {
	hard := quorum.HardState{Term: foundTerm}
	es := []quorum.Entry{{Index: 1, Term: foundTerm, Kind: quorum.EntryMembers, Members: &m}}
	if err := r.Folder.Save(&hard, es); err != nil {
		return err
	}
	r.hard = hard
	r.core.Start(r.Clock.Now(), hard, quorum.Snap{}, es)
	event.ClusterFounded.Log(r.Log, nil, logrus.Fields{"voters": m.Voters})
	return nil
}

// tryRepair replaces a voter whose node greets with a new incarnation: the
// old one lost its disk. One step at a time: remove the old voter, add the
// new incarnation as a learner, promote it when it has caught up.
func (r *Replica) tryRepair() {
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
			r.change(next, step, g.Replica)
			return
		}
	}
}

func (r *Replica) change(next quorum.Members, step string, id tier.ReplicaID) {
	_, err := r.core.ChangeMembers(r.Clock.Now(), next)
	if err != nil {
		return
	}
	event.MembersChanged.Log(r.Log, nil, logrus.Fields{"step": step, "replica": id})
}

// AddMember makes the control host that greets under that node a learner; it
// is promoted once it has caught up.
func (r *Replica) AddMember(ctx context.Context, node tier.NodeID) error {
	var err error
	e := r.call(ctx, func() {
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

// RemoveMember removes the control host of that node.
func (r *Replica) RemoveMember(ctx context.Context, node tier.NodeID) error {
	var err error
	e := r.call(ctx, func() {
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
