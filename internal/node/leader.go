package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// tryTimeout bounds one attempt to reach the leader.
	tryTimeout = time.Second
	// shunFor is how long a host that failed is passed over, however often the
	// others name it: until they have noticed that it no longer leads.
	shunFor = 2 * time.Second
	// tryPause is the wait between attempts, doubled up to tryPauseMost.
	tryPause     = 20 * time.Millisecond
	tryPauseMost = 320 * time.Millisecond
)

// leader finds the control leader and passes commands and questions to it.
type leader struct {
	self    tier.NodeID
	mesh    *conn.Mesh
	peers   []conn.Peer
	replica *ctrl.Replica

	mu      sync.Mutex
	hint    tier.NodeID
	turn    int
	shunned tier.NodeID
	until   time.Time
}

// target returns the control host to ask next.
func (l *leader) target() conn.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.Node == l.hint {
			return p
		}
	}
	l.turn++
	if l.shuns(l.peers[l.turn%len(l.peers)].Node) {
		l.turn++
	}
	return l.peers[l.turn%len(l.peers)]
}

func (l *leader) shuns(id tier.NodeID) bool { return id == l.shunned && time.Now().Before(l.until) }

// learn notes the leader that a control host named, or "" when it knows none.
func (l *leader) learn(id tier.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shuns(id) {
		id = ""
	}
	l.hint = id
}

// failed passes over a host for a while, unless it had no time to answer
// because the request's own time was over.
func (l *leader) failed(ctx context.Context, id tier.NodeID) {
	if ctx.Err() != nil {
		return
	}
	l.forget(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shunned, l.until = id, time.Now().Add(shunFor)
}

// forget drops the hint if it was that host.
func (l *leader) forget(id tier.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hint == id {
		l.hint = ""
	}
}

// found notes a host that answered as the leader.
func (l *leader) found(id tier.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hint = id
	if l.shunned == id {
		l.shunned = ""
	}
}

// retry calls try with control hosts in turn until it succeeds or ctx ends.
func (l *leader) retry(ctx context.Context, try func(context.Context, conn.Peer) (again bool, err error)) error {
	for pause := tryPause; ; pause = min(2*pause, tryPauseMost) {
		p := l.target()
		tctx, cancel := context.WithTimeout(ctx, tryTimeout)
		again, err := try(tctx, p)
		cancel()
		if err == nil {
			l.found(p.Node)
			return nil
		}
		if !again {
			return err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return tier.At("reach control leader", string(p.Node), errors.Wrap(tier.ErrNoControl, err.Error()))
		}
	}
}

// Propose makes a command durable; see tier.Proposer.
func (l *leader) Propose(ctx context.Context, cmd store.Command) (store.Result, error) {
	var res store.Result
	err := l.retry(ctx, func(tctx context.Context, p conn.Peer) (bool, error) {
		var rep proposeReply
		if p.Node == l.self {
			rep = l.proposeHere(tctx, cmd)
		} else if err := l.mesh.Call(tctx, p, conn.KindPropose, cmd, &rep); err != nil {
			l.failed(ctx, p.Node)
			return true, err
		}
		if rep.Error != "" {
			l.learn(otherThan(p.Node, rep.Leader))
			return true, errors.New(rep.Error)
		}
		res = rep.Result
		return false, nil
	})
	return res, err
}

// otherThan keeps a host that does not lead from naming itself.
func otherThan(asked, named tier.NodeID) tier.NodeID {
	if asked == named {
		return ""
	}
	return named
}

func (l *leader) proposeHere(ctx context.Context, cmd store.Command) proposeReply {
	res, err := l.replica.Propose(ctx, cmd)
	if err != nil {
		return proposeReply{Error: err.Error(), Leader: l.replica.Leader(ctx)}
	}
	return proposeReply{Result: res}
}

// servePropose handles a proposal of another node.
func (l *leader) servePropose(ctx context.Context, s *conn.Stream) {
	var cmd store.Command
	if s.Recv(&cmd) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*tryTimeout)
	defer cancel()
	_ = s.Send(l.proposeHere(ctx, cmd))
}

// ask passes a question or order to the control leader.
func (l *leader) ask(ctx context.Context, req adminRequest) (adminReply, error) {
	var res adminReply
	err := l.retry(ctx, func(tctx context.Context, p conn.Peer) (bool, error) {
		var rep adminReply
		if p.Node == l.self {
			rep = l.answer(tctx, req)
		} else if err := l.mesh.Call(tctx, p, conn.KindAdmin, req, &rep); err != nil {
			l.failed(ctx, p.Node)
			return true, err
		}
		if rep.Error != "" {
			l.learn(otherThan(p.Node, rep.Leader))
			return rep.Error == tier.ErrNotLeader.Error(), errors.New(rep.Error)
		}
		res = rep
		return false, nil
	})
	return res, err
}

func (l *leader) serveAdmin(ctx context.Context, s *conn.Stream) {
	var req adminRequest
	if s.Recv(&req) != nil {
		return
	}
	_ = s.Send(l.answer(ctx, req))
}

// answer answers as the leader, or says that this host does not lead.
func (l *leader) answer(ctx context.Context, req adminRequest) adminReply {
	var rep adminReply
	err := l.carryOut(ctx, req, &rep)
	if err != nil {
		rep.Error = err.Error()
		rep.Leader = l.replica.Leader(ctx)
	}
	return rep
}

func (l *leader) carryOut(ctx context.Context, req adminRequest, rep *adminReply) error {
	r := l.replica
	switch req.Kind {
	case adminConfig:
		return r.Read(ctx, func(s *store.Store) { rep.Config = s.Config() })
	case adminHistory:
		return r.Read(ctx, func(s *store.Store) { rep.History = append([]store.Past(nil), s.History()...) })
	case adminBackup:
		var err error
		e := r.Read(ctx, func(s *store.Store) { rep.Backup, err = s.Save() })
		if e != nil {
			return e
		}
		return err
	case adminLagging:
		ids, err := r.Lagging(ctx, req.Version)
		rep.Lagging = ids
		return err
	case adminStatus, adminAdd, adminRemove, adminHand:
	}
	if err := r.Read(ctx, func(*store.Store) {}); err != nil {
		return err
	}
	return l.order(ctx, req, rep)
}

func (l *leader) order(ctx context.Context, req adminRequest, rep *adminReply) error {
	switch req.Kind {
	case adminStatus:
		s, err := l.replica.Status(ctx)
		rep.Status = &s
		return err
	case adminAdd:
		return l.replica.AddMember(ctx, req.Node)
	case adminRemove:
		return l.replica.RemoveMember(ctx, req.Node)
	case adminHand:
		l.replica.Hand(ctx)
		return nil
	default:
	}
	return errors.Errorf("unknown request %q", req.Kind)
}
