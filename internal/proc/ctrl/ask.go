package ctrl

import (
	"context"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Propose makes a command durable on a majority and returns its result. With
// an error the command may still take effect; every command may be repeated.
func (r *Replica) Propose(ctx context.Context, cmd store.Command) (store.Result, error) {
	done := make(chan answer, 1)
	select {
	case r.proposals <- proposal{cmd: cmd, done: done}:
	case <-r.stopped:
		return store.Result{}, tier.ErrNotLeader
	case <-ctx.Done():
		return store.Result{}, ctx.Err()
	}
	select {
	case a := <-done:
		return a.result, a.err
	case <-r.stopped:
		return store.Result{}, tier.ErrNotLeader
	case <-ctx.Done():
		return store.Result{}, ctx.Err()
	}
}

// call runs f in the loop and waits for its end.
func (r *Replica) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(done) }:
	case <-r.stopped:
		return tier.ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-r.stopped:
		return tier.ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read runs f on the state after a quorum has confirmed that this replica
// still leads, so that f sees every change accepted before the call.
func (r *Replica) Read(ctx context.Context, f func(*store.Store)) error {
	res := make(chan error, 1)
	ask := func() {
		r.confirm(func(d quorum.ReadDone) {
			if d.Failed {
				res <- tier.ErrNotLeader
				return
			}
			f(r.store)
			res <- nil
		})
	}
	if err := r.call(ctx, ask); err != nil {
		return err
	}
	select {
	case err := <-res:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// confirm calls f once a quorum has confirmed leadership, or with Failed.
func (r *Replica) confirm(f func(quorum.ReadDone)) {
	r.readID++
	id := r.readID
	r.reads[id] = f
	if err := r.core.Read(r.Clock.Now(), id); err != nil {
		delete(r.reads, id)
		f(quorum.ReadDone{Failed: true})
	}
}

func (r *Replica) finishRead(d quorum.ReadDone) {
	f := r.reads[d.ID]
	if f == nil {
		return
	}
	delete(r.reads, d.ID)
	f(d)
}

// Leader returns the node that this replica takes for the leader, or "".
func (r *Replica) Leader(ctx context.Context) tier.NodeID {
	var id tier.NodeID
	if r.call(ctx, func() { id = r.core.LeaderID().Node() }) != nil {
		return ""
	}
	return id
}

// Hand asks another replica to take over leadership, for a planned stop.
func (r *Replica) Hand(ctx context.Context) {
	_ = r.call(ctx, func() { r.core.Hand(r.Clock.Now()) })
}

// Status describes a replica.
type Status struct {
	Replica  tier.ReplicaID   `json:"replica" cbor:"1,keyasint"`
	Role     string           `json:"role" cbor:"2,keyasint"`
	Term     tier.Term        `json:"term" cbor:"3,keyasint"`
	Leader   tier.ReplicaID   `json:"leader" cbor:"4,keyasint"`
	Members  quorum.Members   `json:"members" cbor:"5,keyasint"`
	Last     tier.Index       `json:"last" cbor:"6,keyasint"`
	Applied  tier.Index       `json:"applied" cbor:"7,keyasint"`
	Lag      map[string]int64 `json:"lag,omitempty" cbor:"8,keyasint,omitempty"`
	Versions int              `json:"versions" cbor:"9,keyasint"`
}

// Status returns the replica's state; a leader's has each peer's lag in entries.
func (r *Replica) Status(ctx context.Context) (Status, error) {
	var s Status
	err := r.call(ctx, func() {
		c := &r.core
		s = Status{
			Replica: c.ID, Role: c.Role().String(), Term: c.Term(), Leader: c.LeaderID(),
			Members: c.Membership(), Last: c.LastIndex(), Applied: c.Applied(), Versions: len(r.store.History()),
		}
		if c.Role() != quorum.Leader {
			return
		}
		s.Lag = map[string]int64{}
		for _, id := range s.Members.All() {
			s.Lag[string(id)] = int64(c.LastIndex()) - int64(c.Match(id))
		}
	})
	return s, err
}
