package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// pollEvery is how often a node without control asks its peers.
	pollEvery = 500 * time.Millisecond
	// pollAhead is the rest of the lease at which the node begins to ask, so
	// that it knows where it stands when the lease ends.
	pollAhead   = 1500 * time.Millisecond
	pollTimeout = 300 * time.Millisecond
	// controlRecent is the age of a peer's lease renewal below which control
	// counts as alive: one and a half heartbeats.
	controlRecent = 3 * beatEvery / 2
	// pollSize is how many peers it asks.
	pollSize = 16
)

// watchPeers lets the node go on without control. While most of the entries
// that it asks answer, it serves callers with what the newest of them knows.
// While none of them has heard from control lately either, it also goes on
// sending to the servers that it owns: nobody can have moved them.
func (n *Node) watchPeers(ctx context.Context) error {
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	lost := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if n.fleet.LeaseLeft() > pollAhead || !n.fleet.Ready() {
			if lost {
				event.ControlFound.Log(n.Log, nil, nil)
			}
			lost = false
			n.fleet.SetPeers(false, false)
			continue
		}
		if !lost && !n.fleet.Leased() {
			lost = true
			event.ControlLost.Log(n.Log, nil, nil)
		}
		n.poll(ctx)
	}
}

func (n *Node) poll(ctx context.Context) {
	peers := n.fleet.Sample(pollSize)
	answers := make(chan *peerReply, len(peers))
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req := peerRequest{Config: n.fleet.Config().Version, Have: n.fleet.Table().Stamp, Digests: n.fleet.Table().Digests()}
	for _, p := range peers {
		go func() { answers <- n.askPeer(ctx, p, req) }()
	}
	heard, controlled := 1, false
	for range peers {
		a := <-answers
		if a == nil {
			continue
		}
		heard++
		controlled = controlled || a.RenewedMs.Duration() < controlRecent
		if a.Table != nil {
			n.takeMembership(*a.Table)
		}
	}
	most := 2*heard > len(peers)+1
	if !most && !n.fleet.Leased() {
		event.NodeIsolated.Log(n.Log, nil, logrus.Fields{"heard": heard, "asked": len(peers) + 1})
	}
	n.fleet.SetPeers(most, controlled)
}

func (n *Node) askPeer(ctx context.Context, p conn.Peer, req peerRequest) *peerReply {
	var rep peerReply
	if n.mesh.Call(ctx, p, conn.KindPeer, req, &rep) != nil {
		return nil
	}
	if rep.Config != nil && n.fleet.SetConfig(rep.Config) {
		event.ConfigFromPeer.Log(n.Log, nil, logrus.Fields{"version": rep.Config.Version, "peer": p.Node})
	}
	return &rep
}

func (n *Node) servePeer(_ context.Context, s *conn.Stream) {
	var req peerRequest
	if s.Recv(&req) != nil {
		return
	}
	rep := peerReply{RenewedMs: tier.ToMillis(roster.NodeLease - n.fleet.LeaseLeft())}
	if c := n.fleet.Config(); c.Version > req.Config {
		rep.Config = c
	}
	if t := n.fleet.Table(); req.Have.Less(t.Stamp) {
		d := t.Diff(req.Digests)
		rep.Table = &d
	}
	_ = s.Send(rep)
}
