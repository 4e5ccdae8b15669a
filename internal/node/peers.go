package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
)

const (
	// pollEvery is how often a node without control asks its peers.
	pollEvery = 500 * time.Millisecond
	// pollSize is how many peers it asks.
	pollSize = 16
)

// watchPeers lets the node go on without control while most of the entries
// that it asks answer and none knows of a newer membership. A newer accepted
// configuration is taken from whichever peer has it.
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
		if n.fleet.Leased() || !n.fleet.Ready() {
			if lost {
				lost = false
				event.ControlFound.Log(n.Log, nil, nil)
			}
			n.fleet.SetQuorate(false)
			continue
		}
		if !lost {
			lost = true
			event.ControlLost.Log(n.Log, nil, nil)
		}
		n.poll(ctx)
	}
}

func (n *Node) poll(ctx context.Context) {
	peers := n.fleet.Sample(pollSize)
	answers := make(chan *peerReply, len(peers))
	ctx, cancel := context.WithTimeout(ctx, pollEvery)
	defer cancel()
	for _, p := range peers {
		go func() { answers <- n.askPeer(ctx, p) }()
	}
	mine := n.fleet.Table().Stamp
	heard, newer := 1, false
	for range peers {
		a := <-answers
		if a == nil {
			continue
		}
		heard++
		newer = newer || mine.Less(a.Stamp)
	}
	ok := 2*heard > len(peers)+1 && !newer
	if !ok {
		event.NodeIsolated.Log(n.Log, nil, logrus.Fields{"heard": heard, "asked": len(peers) + 1, "newer": newer})
	}
	n.fleet.SetQuorate(ok)
}

func (n *Node) askPeer(ctx context.Context, p conn.Peer) *peerReply {
	var rep peerReply
	req := peerRequest{Config: n.fleet.Config().Version}
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
	rep := peerReply{Stamp: n.fleet.Table().Stamp, Leased: n.fleet.Leased()}
	if c := n.fleet.Config(); c.Version > req.Config {
		rep.Config = c
	}
	_ = s.Send(rep)
}
