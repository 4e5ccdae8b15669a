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
	// heartbeatInterval is the time between heartbeats to the leader.
	heartbeatInterval = time.Second
	// minSendInterval is the pause after a message that notifyLeader caused.
	minSendInterval = 50 * time.Millisecond
	// subscribeTimeout and heartbeatTimeout bound the wait for the leader's answer to the
	// first message and to a heartbeat; then the node tries another control host.
	// timeoutCheckInterval is how often they are checked. subscribeTimeout is longer, since
	// a new subscription costs the leader more than a heartbeat: giving up on a leader
	// that is only busy would add to its load.
	subscribeTimeout     = 2500 * time.Millisecond
	heartbeatTimeout     = 1200 * time.Millisecond
	timeoutCheckInterval = 100 * time.Millisecond
	// openTimeout bounds the opening of the subscription's stream.
	openTimeout = 600 * time.Millisecond
	// minResubscribeWait and maxResubscribeWait bound the wait before the next
	// subscription; jitter is applied on top.
	minResubscribeWait = 50 * time.Millisecond
	maxResubscribeWait = 500 * time.Millisecond
	messageQueueLength = 16
)

// follow keeps a subscription to the control leader until ctx ends.
func (n *Node) follow(ctx context.Context) error {
	wait := minResubscribeWait
	for ctx.Err() == nil {
		began := n.Clock.Now()
		n.subscribe(ctx)
		if n.Clock.Now()-began > maxResubscribeWait {
			wait = minResubscribeWait
		}
		select {
		case <-time.After(n.jitter(wait)):
		case <-ctx.Done():
		}
		wait = min(2*wait, maxResubscribeWait)
	}
	return ctx.Err()
}

// subscribe opens one subscription and runs it until it fails or ctx ends.
func (n *Node) subscribe(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := n.leader.target()
	openCtx, cancelOpen := context.WithTimeout(ctx, openTimeout)
	s, err := n.mesh.Open(openCtx, p, conn.KindWatch)
	cancelOpen()
	if err != nil {
		n.leader.recordFailure(ctx, p.Node)
		return
	}
	defer s.Cancel()
	messages := make(chan roster.HubMessage, messageQueueLength)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		receiveMessages(ctx, s, messages)
	}()
	n.runSubscription(ctx, p, s, messages)
	s.Cancel()
	cancel()
	<-ended
}

// receiveMessages passes the leader's messages to out, and closes it when the stream ends.
func receiveMessages(ctx context.Context, s *conn.Stream, out chan<- roster.HubMessage) {
	defer close(out)
	for {
		var d roster.HubMessage
		if s.Recv(&d) != nil {
			return
		}
		select {
		case out <- d:
		case <-ctx.Done():
			return
		}
	}
}

// runSubscription sends heartbeats and changes to the leader and applies its messages. It
// returns when the stream ends, the host does not lead, or an answer is overdue.
func (n *Node) runSubscription(ctx context.Context, p conn.Peer, s *conn.Stream, messages <-chan roster.HubMessage) {
	if s.Send(n.firstMessage()) != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	check := time.NewTicker(timeoutCheckInterval)
	defer check.Stop()
	sentAt := n.Clock.Now()
	awaitingReply, replyTimeout := true, subscribeTimeout
	for {
		select {
		case <-ctx.Done():
			return
		case d, ok := <-messages:
			if !ok || d.NotLeader {
				n.handleNotLeader(p, d)
				return
			}
			awaitingReply, replyTimeout = false, heartbeatTimeout
			n.leader.confirmLeader(p.Node)
			if !n.applyAll(d, messages) {
				return
			}
		case <-heartbeat.C:
			if !awaitingReply {
				sentAt, awaitingReply = n.Clock.Now(), true
			}
			if s.Send(n.nextMessage()) != nil {
				return
			}
		case <-check.C:
			if awaitingReply && n.Clock.Now()-sentAt > replyTimeout {
				n.leader.recordFailure(ctx, p.Node)
				n.mesh.CloseLink(p.Node)
				return
			}
		case <-n.wakeup:
			if s.Send(n.nextMessage()) != nil {
				return
			}
			n.pauseAfterSend(ctx)
		}
	}
}

// handleNotLeader records the leader that the host named. If it named none or the stream has
// ended, it clears the hint.
func (n *Node) handleNotLeader(p conn.Peer, d roster.HubMessage) {
	if d.Leader != "" && d.Leader != p.Node {
		n.leader.setHint(d.Leader)
		return
	}
	n.leader.clearHint(p.Node)
}

// pauseAfterSend limits how often changes are sent: those in the pause share one message.
func (n *Node) pauseAfterSend(ctx context.Context) {
	select {
	case <-time.After(minSendInterval):
	case <-ctx.Done():
	}
}

// notifyLeader causes a message to the leader before the next heartbeat is due.
func (n *Node) notifyLeader() {
	select {
	case n.wakeup <- struct{}{}:
	default:
	}
}

// selfRecord returns this node's record for the membership.
func (n *Node) selfRecord() roster.Node {
	return roster.Node{
		ID: n.Settings.Node, Instance: n.instance, Zone: n.Settings.Zone, Peer: n.Settings.Peers, Address: n.Settings.Advertise,
		Control: n.replica != nil, Entry: n.isEntry(), Draining: n.draining.Load(),
	}
}

// firstMessage returns the message that begins a subscription. Its list of servers is
// complete. It is read after nextMessage has taken the pending changes, so that it
// includes them.
func (n *Node) firstMessage() roster.NodeMessage {
	up := n.nextMessage()
	rec := n.selfRecord()
	up.Node = &rec
	up.Digests = n.fleet.Table().Digests()
	n.mu.Lock()
	defer n.mu.Unlock()
	up.Servers = n.leases.All()
	return up
}

// nextMessage returns a heartbeat with the changes since the last message.
func (n *Node) nextMessage() roster.NodeMessage {
	up := roster.NodeMessage{Have: n.appliedStamp(), Config: n.fleet.Config().Version, Beat: n.fleet.NextBeat(), Leaving: n.leaving.Load()}
	n.mu.Lock()
	defer n.mu.Unlock()
	up.Servers, n.changedServers = n.changedServers, nil
	up.Gone, n.goneServers = n.goneServers, nil
	if n.selfChanged {
		n.selfChanged = false
		rec := n.selfRecord()
		up.Node = &rec
	}
	return up
}

// appliedStamp returns the stamp of the newest membership that the node has fully
// applied: none of its requests still runs on a server that it no longer owns.
func (n *Node) appliedStamp() roster.Stamp {
	stamp := n.fleet.Table().Stamp
	busy := n.owner.BusyReleased() > 0
	n.mu.Lock()
	defer n.mu.Unlock()
	if !busy {
		n.acked = stamp
	}
	return n.acked
}

// applyAll applies a message of the leader and all those queued behind it, and then
// propagates their changes once. It returns false if the stream has ended.
func (n *Node) applyAll(d roster.HubMessage, messages <-chan roster.HubMessage) bool {
	streamOpen, changed := true, n.apply(d)
	for more := true; more && streamOpen; {
		select {
		case d, streamOpen = <-messages:
			if streamOpen {
				changed.Merge(n.apply(d))
			}
		default:
			more = false
		}
	}
	if changed.Any() {
		n.tableChanged(changed)
		n.notifyLeader()
	}
	n.updateReady()
	return streamOpen
}

// apply applies one message of the leader and returns what changed in the membership.
func (n *Node) apply(d roster.HubMessage) roster.Change {
	if d.Config != nil && n.fleet.SetConfig(d.Config) {
		event.ConfigInForce.Log(n.Log, nil, logrus.Fields{"version": d.Config.Version})
		n.applyDrain()
		n.notifyLeader()
	}
	if d.Poison != nil {
		n.engine.SetSuspects(d.Poison.Suspects)
	}
	return n.fleet.Apply(d)
}

// applyPeerMembership applies a newer membership received from a peer.
func (n *Node) applyPeerMembership(d roster.HubMessage) {
	if c := n.fleet.Apply(d); c.Any() {
		n.tableChanged(c)
	}
}

// tableChanged passes a change of the membership to the owner and the engine. A server
// instance that appears after the node became ready is treated as cold.
func (n *Node) tableChanged(c roster.Change) {
	n.changeMu.Lock()
	defer n.changeMu.Unlock()
	t := n.fleet.Table()
	newInstances := map[tier.ServerID]bool{}
	for id := range c.Servers {
		s, live := t.Servers[id]
		if live && n.isReady() && n.seenInstances[id] != s.Instance {
			newInstances[id] = true
		}
		if live {
			n.seenInstances[id] = s.Instance
		}
	}
	n.owner.Update(n.fleet.Owned(), func(s tier.Announcement) bool { return newInstances[s.Server] })
	n.engine.ServersChanged(c.Servers, t.Servers)
}

// serveWatch serves a node's subscription on a control host.
func (n *Node) serveWatch(ctx context.Context, s *conn.Stream) {
	var first roster.NodeMessage
	if s.Recv(&first) != nil {
		return
	}
	sub, ok := n.replica.Subscribe(s.Peer, first)
	if !ok {
		_ = s.Send(roster.HubMessage{NotLeader: true, Leader: n.replica.Leader(ctx)})
		return
	}
	defer n.replica.Unsubscribe(sub)
	go func() {
		for {
			var up roster.NodeMessage
			if s.Recv(&up) != nil {
				n.replica.Unsubscribe(sub)
				return
			}
			n.replica.Receive(sub, up)
		}
	}()
	for d := range sub.Out {
		if s.Send(d) != nil {
			return
		}
	}
}
