package ctrl

import (
	"context"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Propose commits a command on a majority of the voters and returns its result. If it returns an error, the command may
// still take effect later. It is safe to propose a command again.
func (r *Replica) Propose(ctx context.Context, cmd store.Command) (store.Result, error) {
	done := make(chan proposalResult, 1)
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

// runInLoop runs f in the event loop and waits until it returns.
func (r *Replica) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case r.loopCalls <- func() { f(); close(done) }:
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

// Read calls f with the state once a quorum has confirmed that this replica still leads, so that f sees every change
// that was accepted before the call.
func (r *Replica) Read(ctx context.Context, f func(*store.Store)) error {
	res := make(chan error, 1)
	confirm := func() {
		r.confirmLeadership(func(d quorum.ReadDone) {
			if d.Failed {
				res <- tier.ErrNotLeader
				return
			}
			f(r.store)
			res <- nil
		})
	}
	if err := r.runInLoop(ctx, confirm); err != nil {
		return err
	}
	select {
	case err := <-res:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// confirmLeadership calls f once a quorum has confirmed that this replica leads, or with Failed set if it does not.
func (r *Replica) confirmLeadership(f func(quorum.ReadDone)) {
	r.lastReadID++
	id := r.lastReadID
	r.pendingReads[id] = f
	if err := r.core.Read(r.Clock.Now(), id); err != nil {
		delete(r.pendingReads, id)
		f(quorum.ReadDone{Failed: true})
	}
}

func (r *Replica) finishRead(d quorum.ReadDone) {
	f := r.pendingReads[d.ID]
	if f == nil {
		return
	}
	delete(r.pendingReads, d.ID)
	f(d)
}

// Leader returns the node of the leader known to this replica, or "".
func (r *Replica) Leader(ctx context.Context) tier.NodeID {
	var id tier.NodeID
	if r.runInLoop(ctx, func() { id = r.core.LeaderID().Node() }) != nil {
		return ""
	}
	return id
}

// TransferLeadership transfers leadership to another replica, before a planned stop.
func (r *Replica) TransferLeadership(ctx context.Context) {
	_ = r.runInLoop(ctx, func() { r.core.TransferLeadership(r.Clock.Now()) })
}

// Status is the state of a replica. Lag has, on the leader, the number of log entries by which each member lags.
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

// Status returns the state of the replica.
func (r *Replica) Status(ctx context.Context) (Status, error) {
	var s Status
	err := r.runInLoop(ctx, func() {
		c := &r.core
		s = Status{
			Replica: c.ID, Role: c.Role().String(), Term: c.Term(), Leader: c.LeaderID(),
			Members: c.Membership(), Last: c.LastIndex(), Applied: r.applied, Versions: len(r.store.History()),
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
