package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/vers"
)

const (
	drainPollInterval = 50 * time.Millisecond
	// drainKnownTimeout bounds the wait until all nodes know of a drain. It covers the
	// failure of two control leaders in a row; each is detected within subscribeTimeout
	// and followed by an election and the time in which a new leader publishes nothing
	// (about 5 s).
	drainKnownTimeout = 15 * time.Second
	// leaveTimeout bounds each step of leaving: removal from the membership, transfer of
	// leadership, and the closing of the muxes.
	leaveTimeout = time.Second
)

// Drain starts a graceful stop and returns at once. Run returns when no request is
// in flight any more and callers have had time to switch to other entries.
func (n *Node) Drain(reason string) {
	if n.draining.Swap(true) {
		return
	}
	event.DrainStarted.Log(n.Log, nil, logrus.Fields{"why": reason})
	n.announceSelf()
	close(n.drainStarted)
}

// announceSelf makes the next message to the leader include this node's record.
func (n *Node) announceSelf() {
	n.mu.Lock()
	n.selfChanged = true
	n.mu.Unlock()
	n.notifyLeader()
}

// applyDrain starts or ends draining as the configuration says: an exception for this
// node drains it, and removing the exception undrains it unless the process is stopping.
func (n *Node) applyDrain() {
	select {
	case <-n.drainStarted:
		return
	default:
	}
	want := n.fleet.Config().Get(vers.KeyDrain, vers.Scope{Kind: vers.ScopeNode, Name: string(n.Settings.Node)}) == 1
	if n.draining.Swap(want) != want {
		n.announceSelf()
	}
}

// runDrain waits for a drain to start, and returns when it has ended. The node keeps
// serving until no other node returns its address and all lists of entries that callers
// hold have expired. It then accepts no new requests, finishes those in flight here and
// on its servers, and leaves the membership.
func (n *Node) runDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.drainStarted:
	}
	known := n.awaitDrainKnown(ctx)
	until := n.Clock.Now() + n.fleet.Config().Millis(vers.KeyEntriesTTL)
	n.waitUntil(ctx, func() bool { return n.Clock.Now() >= until })
	n.web.shutdown(ctx)
	n.waitUntil(ctx, func() bool { return n.engine.Open() == 0 && n.owner.Busy() == 0 })
	n.leave(ctx)
	if n.replica != nil {
		transferCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		n.replica.TransferLeadership(transferCtx)
		cancel()
	}
	n.closeMuxes(ctx)
	event.DrainEnded.Log(n.Log, nil, logrus.Fields{"heard": known})
	return nil
}

// awaitDrainKnown returns true once every live node has applied a membership in which
// this node is draining, and false if that takes longer than drainKnownTimeout: without
// a control leader the change cannot be published.
func (n *Node) awaitDrainKnown(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, drainKnownTimeout)
	defer cancel()
	var drainStamp roster.Stamp
	n.waitUntil(ctx, func() bool {
		t := n.fleet.Table()
		if self, member := t.Nodes[n.Settings.Node]; drainStamp == (roster.Stamp{}) && member && self.Draining {
			drainStamp = t.Stamp
		}
		return drainStamp != (roster.Stamp{}) && n.fleet.Settled(drainStamp)
	})
	return ctx.Err() == nil
}

// leave reports to the hub that the node is leaving, and waits until the node is no
// longer in the membership.
func (n *Node) leave(ctx context.Context) {
	n.leaving.Store(true)
	n.notifyLeader()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool {
		_, member := n.fleet.Table().Nodes[n.Settings.Node]
		return !member
	})
}

// closeMuxes ends the muxes of other entries and waits until they have read all replies.
func (n *Node) closeMuxes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.engine.Finish()
	n.waitUntil(ctx, func() bool { return n.engine.Muxes() == 0 })
}

// waitUntil polls done until it returns true or ctx ends.
func (n *Node) waitUntil(ctx context.Context, done func() bool) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
