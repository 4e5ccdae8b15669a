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
	// peerPollInterval is how often a node that cannot reach control polls its peers.
	peerPollInterval = 500 * time.Millisecond
	// pollBeforeExpiry is the remaining lease time at which polling starts, so that the
	// peers' answers are known when the lease ends.
	pollBeforeExpiry = 1500 * time.Millisecond
	peerPollTimeout  = 300 * time.Millisecond
	// maxRenewalAge is the age of a peer's lease renewal below which control counts as
	// alive: one and a half heartbeat intervals.
	maxRenewalAge = 3 * heartbeatInterval / 2
	// pollSampleSize is the maximum number of peers in one poll.
	pollSampleSize = 16
)

// watchPeers keeps the node in service while it cannot reach control. As long as a
// majority of the polled entries answers, it serves callers with the newest configuration
// and membership among them. As long as none of them has a recent lease renewal either,
// it also keeps sending to the servers that it owns: without control their ownership
// cannot have changed.
func (n *Node) watchPeers(ctx context.Context) error {
	t := time.NewTicker(peerPollInterval)
	defer t.Stop()
	controlLost := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if n.fleet.LeaseLeft() > pollBeforeExpiry || !n.fleet.Ready() {
			if controlLost {
				event.ControlLeaseRenewed.Log(n.Log, nil, nil)
			}
			controlLost = false
			n.fleet.SetPeerStatus(false, false)
			continue
		}
		if !controlLost && !n.fleet.Leased() {
			controlLost = true
			event.ControlLeaseExpired.Log(n.Log, nil, nil)
		}
		n.pollPeers(ctx)
	}
}

// pollPeers queries a sample of the other entries, applies newer state that they have, and
// records whether a majority answered and whether control is alive.
func (n *Node) pollPeers(ctx context.Context) {
	peers := n.fleet.Sample(pollSampleSize)
	answers := make(chan *peerReply, len(peers))
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	req := peerRequest{Config: n.fleet.Config().Version, Have: n.fleet.Table().Stamp, Digests: n.fleet.Table().Digests()}
	for _, p := range peers {
		go func() { answers <- n.queryPeer(ctx, p, req) }()
	}
	answered, controlAlive := 1, false
	for range peers {
		a := <-answers
		if a == nil {
			continue
		}
		answered++
		controlAlive = controlAlive || a.RenewedMs.Duration() < maxRenewalAge
		if a.Table != nil {
			n.applyPeerMembership(*a.Table)
		}
	}
	majority := 2*answered > len(peers)+1
	if !majority && !n.fleet.Leased() {
		event.NodeIsolated.Log(n.Log, nil, logrus.Fields{"heard": answered, "asked": len(peers) + 1})
	}
	n.fleet.SetPeerStatus(majority, controlAlive)
}

// queryPeer queries one peer and applies its configuration if that is newer. It returns
// nil if the call fails.
func (n *Node) queryPeer(ctx context.Context, p conn.Peer, req peerRequest) *peerReply {
	var rep peerReply
	if n.mesh.Call(ctx, p, conn.KindPeer, req, &rep) != nil {
		return nil
	}
	if rep.Config != nil && n.fleet.SetConfig(rep.Config) {
		event.ConfigFromPeer.Log(n.Log, nil, logrus.Fields{"version": rep.Config.Version, "peer": p.Node})
	}
	return &rep
}

// servePeer answers a peerRequest of another node.
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
