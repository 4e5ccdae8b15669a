package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/vers"
)

const (
	drainPoll = 50 * time.Millisecond
	// leaveTimeout bounds the hand-over of leadership and the farewell to the hub.
	leaveTimeout = time.Second
)

// Drain stops the node gracefully; it returns at once, and Run returns when
// nothing is in flight any more and callers have had time to turn elsewhere.
func (n *Node) Drain(why string) {
	if n.draining.Swap(true) {
		return
	}
	event.DrainStarted.Log(n.Log, nil, logrus.Fields{"why": why})
	n.announceSelf()
	close(n.drained)
}

func (n *Node) announceSelf() {
	n.mu.Lock()
	n.changed = true
	n.mu.Unlock()
	n.poke()
}

// applyDrain follows the configuration: an exception drains this node, and
// its removal takes it back, unless the process is stopping.
func (n *Node) applyDrain() {
	select {
	case <-n.drained:
		return
	default:
	}
	want := n.fleet.Config().Get(vers.KeyDrain, vers.Scope{Kind: vers.ScopeNode, Name: string(n.Settings.Node)}) == 1
	if n.draining.Swap(want) != want {
		n.announceSelf()
	}
}

// untilDrained returns when a drain has ended.
func (n *Node) untilDrained(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.drained:
	}
	n.linger(ctx)
	n.web.shutdown(ctx)
	n.leave(ctx)
	if n.replica != nil {
		hctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		n.replica.Hand(hctx)
		cancel()
	}
	event.DrainEnded.Log(n.Log, nil, nil)
	return nil
}

// leave says farewell to the hub and waits until it has taken the node off the membership.
func (n *Node) leave(ctx context.Context) {
	n.leaving.Store(true)
	n.poke()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		if _, member := n.fleet.Table().Nodes[n.Settings.Node]; !member {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// linger serves on for as long as callers may hold an old list of entries,
// and then until nothing is in flight.
func (n *Node) linger(ctx context.Context) {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	until := n.Clock.Now() + n.fleet.Config().Millis(vers.KeyEntriesTTL)
	for n.Clock.Now() < until || n.engine.Open() > 0 || n.owner.Busy() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
