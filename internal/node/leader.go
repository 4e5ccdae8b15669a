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
	// attemptTimeout bounds one attempt to call the leader.
	attemptTimeout = time.Second
	// leaderCooldown is how long a host that failed is skipped even if other control
	// hosts still name it as the leader, which they do until they detect the failure.
	leaderCooldown = 2 * time.Second
	// minBackoff is the first wait between attempts; it doubles up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
)

// leaderClient finds the control leader, and sends it commands and admin requests. On a
// control host it also serves those of other nodes.
type leaderClient struct {
	self    tier.NodeID
	mesh    *conn.Mesh
	peers   []conn.Peer
	replica *ctrl.Replica

	mu            sync.Mutex
	hint          tier.NodeID
	next          int
	cooldownNode  tier.NodeID
	cooldownUntil time.Time
}

// target returns the control host to try next: the hinted leader, otherwise the next in
// turn that is not in cooldown.
func (l *leaderClient) target() conn.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.Node == l.hint {
			return p
		}
	}
	l.next++
	if l.inCooldown(l.peers[l.next%len(l.peers)].Node) {
		l.next++
	}
	return l.peers[l.next%len(l.peers)]
}

func (l *leaderClient) inCooldown(id tier.NodeID) bool {
	return id == l.cooldownNode && time.Now().Before(l.cooldownUntil)
}

// setHint records the leader that a control host named, or "" if it knows none. If the
// named host is in cooldown, it clears the hint.
func (l *leaderClient) setHint(id tier.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inCooldown(id) {
		id = ""
	}
	l.hint = id
}

// recordFailure puts a host into cooldown, unless ctx has ended: then the request's own
// deadline, not the host, may be the cause of the failure.
func (l *leaderClient) recordFailure(ctx context.Context, id tier.NodeID) {
	if ctx.Err() != nil {
		return
	}
	l.clearHint(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cooldownNode, l.cooldownUntil = id, time.Now().Add(leaderCooldown)
}

// clearHint clears the hint if it names this host.
func (l *leaderClient) clearHint(id tier.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hint == id {
		l.hint = ""
	}
}

// confirmLeader records a host that answered as the leader, and ends its cooldown.
func (l *leaderClient) confirmLeader(id tier.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hint = id
	if l.cooldownNode == id {
		l.cooldownNode = ""
	}
}

// retry calls attempt with one control host after another until it succeeds, returns an
// error that is not retryable, or ctx ends.
func (l *leaderClient) retry(ctx context.Context, attempt func(context.Context, conn.Peer) (retryable bool, err error)) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		p := l.target()
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		retryable, err := attempt(attemptCtx, p)
		cancel()
		if err == nil {
			l.confirmLeader(p.Node)
			return nil
		}
		if !retryable {
			return err
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return tier.At("reach control leader", string(p.Node), errors.Wrap(tier.ErrNoControl, err.Error()))
		}
	}
}

// Propose makes a command durable; see tier.Proposer.
func (l *leaderClient) Propose(ctx context.Context, cmd store.Command) (store.Result, error) {
	var res store.Result
	err := l.retry(ctx, func(attemptCtx context.Context, p conn.Peer) (bool, error) {
		var rep proposeReply
		if p.Node == l.self {
			rep = l.proposeLocally(attemptCtx, cmd)
		} else if err := l.mesh.Call(attemptCtx, p, conn.KindPropose, cmd, &rep); err != nil {
			l.recordFailure(ctx, p.Node)
			return true, err
		}
		if rep.Error != "" {
			l.setHint(redirectHint(p.Node, rep.Leader))
			return true, errors.New(rep.Error)
		}
		res = rep.Result
		return false, nil
	})
	return res, err
}

// redirectHint returns the leader that a host named in an error reply, or "" if the host
// named itself although it does not lead.
func redirectHint(from, hint tier.NodeID) tier.NodeID {
	if from == hint {
		return ""
	}
	return hint
}

func (l *leaderClient) proposeLocally(ctx context.Context, cmd store.Command) proposeReply {
	res, err := l.replica.Propose(ctx, cmd)
	if err != nil {
		return proposeReply{Error: err.Error(), Leader: l.replica.Leader(ctx)}
	}
	return proposeReply{Result: res}
}

// servePropose serves a proposal from another node.
func (l *leaderClient) servePropose(ctx context.Context, s *conn.Stream) {
	var cmd store.Command
	if s.Recv(&cmd) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*attemptTimeout)
	defer cancel()
	_ = s.Send(l.proposeLocally(ctx, cmd))
}

// callLeader sends an admin request to the control leader and returns its reply.
func (l *leaderClient) callLeader(ctx context.Context, req adminRequest) (adminReply, error) {
	var res adminReply
	err := l.retry(ctx, func(attemptCtx context.Context, p conn.Peer) (bool, error) {
		var rep adminReply
		if p.Node == l.self {
			rep = l.handleAdmin(attemptCtx, req)
		} else if err := l.mesh.Call(attemptCtx, p, conn.KindAdmin, req, &rep); err != nil {
			l.recordFailure(ctx, p.Node)
			return true, err
		}
		if rep.Error != "" {
			l.setHint(redirectHint(p.Node, rep.Leader))
			return rep.Error == tier.ErrNotLeader.Error(), errors.New(rep.Error)
		}
		res = rep
		return false, nil
	})
	return res, err
}

// serveAdmin serves an admin request from another node.
func (l *leaderClient) serveAdmin(ctx context.Context, s *conn.Stream) {
	var req adminRequest
	if s.Recv(&req) != nil {
		return
	}
	_ = s.Send(l.handleAdmin(ctx, req))
}

// handleAdmin runs an admin request on this host. On an error, such as that this host does
// not lead, the reply has the error and the leader that the replica knows.
func (l *leaderClient) handleAdmin(ctx context.Context, req adminRequest) adminReply {
	var rep adminReply
	err := l.runAdmin(ctx, req, &rep)
	if err != nil {
		rep.Error = err.Error()
		rep.Leader = l.replica.Leader(ctx)
	}
	return rep
}

// runAdmin runs an admin request. Status and changes of the control group run only after
// a read has confirmed that this host leads.
func (l *leaderClient) runAdmin(ctx context.Context, req adminRequest, rep *adminReply) error {
	r := l.replica
	switch req.Kind {
	case adminConfig:
		return r.Read(ctx, func(s *store.Store) { rep.Config = s.Config() })
	case adminHistory:
		return r.Read(ctx, func(s *store.Store) { rep.History = append([]store.HistoryEntry(nil), s.History()...) })
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
	case adminStatus, adminAdd, adminRemove, adminTransfer:
	}
	if err := r.Read(ctx, func(*store.Store) {}); err != nil {
		return err
	}
	return l.runAdminCommand(ctx, req, rep)
}

func (l *leaderClient) runAdminCommand(ctx context.Context, req adminRequest, rep *adminReply) error {
	switch req.Kind {
	case adminStatus:
		s, err := l.replica.Status(ctx)
		rep.Status = &s
		return err
	case adminAdd:
		return l.replica.AddMember(ctx, req.Node)
	case adminRemove:
		return l.replica.RemoveMember(ctx, req.Node)
	case adminTransfer:
		l.replica.TransferLeadership(ctx)
		return nil
	default:
	}
	return errors.Errorf("unknown request %q", req.Kind)
}
