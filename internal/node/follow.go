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
	// beatEvery is the interval between heartbeats to the leader.
	beatEvery = time.Second
	// kickGap is the least time between two messages to the leader.
	kickGap = 50 * time.Millisecond
	// joinSilence and beatSilence are how long the leader may leave the first
	// message and a heartbeat unanswered before another control host is asked;
	// beatCheck is how often this is looked at. A subscription costs the leader
	// more than a heartbeat, so that a busy one must not be left for nothing.
	joinSilence = 2500 * time.Millisecond
	beatSilence = 1200 * time.Millisecond
	beatCheck   = 100 * time.Millisecond
	// joinTimeout bounds the opening of a subscription.
	joinTimeout = 600 * time.Millisecond
	// rejoinLeast and rejoinMost bound the jittered wait before the next subscription.
	rejoinLeast = 50 * time.Millisecond
	rejoinMost  = 500 * time.Millisecond
	downQueue   = 16
)

// follow keeps a subscription to the control leader until ctx ends.
func (n *Node) follow(ctx context.Context) error {
	wait := rejoinLeast
	for ctx.Err() == nil {
		began := n.Clock.Now()
		n.subscribe(ctx)
		if n.Clock.Now()-began > rejoinMost {
			wait = rejoinLeast
		}
		select {
		case <-time.After(n.jitter(wait)):
		case <-ctx.Done():
		}
		wait = min(2*wait, rejoinMost)
	}
	return ctx.Err()
}

// subscribe runs one subscription until it breaks.
func (n *Node) subscribe(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := n.leader.target()
	octx, stop := context.WithTimeout(ctx, joinTimeout)
	s, err := n.mesh.Open(octx, p, conn.KindWatch)
	stop()
	if err != nil {
		n.leader.failed(ctx, p.Node)
		return
	}
	defer s.Cancel()
	downs := make(chan roster.Down, downQueue)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		receiveDowns(ctx, s, downs)
	}()
	n.converse(ctx, p, s, downs)
	s.Cancel()
	cancel()
	<-ended
}

func receiveDowns(ctx context.Context, s *conn.Stream, out chan<- roster.Down) {
	defer close(out)
	for {
		var d roster.Down
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

// converse sends heartbeats and news, and takes what comes.
func (n *Node) converse(ctx context.Context, p conn.Peer, s *conn.Stream, downs <-chan roster.Down) {
	if s.Send(n.firstUp()) != nil {
		return
	}
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	check := time.NewTicker(beatCheck)
	defer check.Stop()
	asked := n.Clock.Now()
	waiting, silence := true, joinSilence
	for {
		select {
		case <-ctx.Done():
			return
		case d, ok := <-downs:
			if !ok || d.NotLeader {
				n.notLeader(p, d)
				return
			}
			waiting, silence = false, beatSilence
			n.leader.found(p.Node)
			if !n.takeAll(d, downs) {
				return
			}
		case <-beat.C:
			if !waiting {
				asked, waiting = n.Clock.Now(), true
			}
			if s.Send(n.up()) != nil {
				return
			}
		case <-check.C:
			if waiting && n.Clock.Now()-asked > silence {
				n.leader.failed(ctx, p.Node)
				n.mesh.Drop(p.Node)
				return
			}
		case <-n.kick:
			if s.Send(n.up()) != nil {
				return
			}
			n.gap(ctx)
		}
	}
}

func (n *Node) notLeader(p conn.Peer, d roster.Down) {
	if d.Leader != "" && d.Leader != p.Node {
		n.leader.learn(d.Leader)
		return
	}
	n.leader.forget(p.Node)
}

// gap spaces messages that are sent for news.
func (n *Node) gap(ctx context.Context) {
	select {
	case <-time.After(kickGap):
	case <-ctx.Done():
	}
}

// poke has the leader told of news soon.
func (n *Node) poke() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

func (n *Node) record() roster.Node {
	return roster.Node{
		ID: n.Settings.Node, Instance: n.instance, Zone: n.Settings.Zone, Peer: n.Settings.Peers, Address: n.Settings.Advertise,
		Control: n.replica != nil, Entry: n.entry(), Draining: n.draining.Load(),
	}
}

// firstUp makes the message that begins a subscription. Its list of servers
// is complete, and is made after the news were taken, which it holds too.
func (n *Node) firstUp() roster.Up {
	up := n.up()
	rec := n.record()
	up.Node = &rec
	up.Digests = n.fleet.Table().Digests()
	n.mu.Lock()
	defer n.mu.Unlock()
	up.Servers = n.leases.All()
	return up
}

// up makes a heartbeat with the news since the last one.
func (n *Node) up() roster.Up {
	up := roster.Up{Have: n.have(), Config: n.fleet.Config().Version, Beat: n.fleet.NextBeat(), Leaving: n.leaving.Load()}
	n.mu.Lock()
	defer n.mu.Unlock()
	up.Servers, n.news = n.news, nil
	up.Gone, n.gone = n.gone, nil
	if n.changed {
		n.changed = false
		rec := n.record()
		up.Node = &rec
	}
	return up
}

// have returns the newest membership that the node has taken over in full:
// nothing of its own runs any more on servers that it no longer owns.
func (n *Node) have() roster.Stamp {
	stamp := n.fleet.Table().Stamp
	busy := n.owner.Leaving() > 0
	n.mu.Lock()
	defer n.mu.Unlock()
	if !busy {
		n.acked = stamp
	}
	return n.acked
}

// takeAll takes over a message of the leader and those queued behind it, and
// works out once what follows from them; false means that the stream has ended.
func (n *Node) takeAll(d roster.Down, downs <-chan roster.Down) bool {
	open, changed := true, n.take(d)
	for more := true; more && open; {
		select {
		case d, open = <-downs:
			if open {
				changed.Add(n.take(d))
			}
		default:
			more = false
		}
	}
	if changed.Any() {
		n.tableChanged(changed)
		n.poke()
	}
	n.noteReady()
	return open
}

// take takes over one message and tells what changed in the membership.
func (n *Node) take(d roster.Down) roster.Change {
	if d.Config != nil && n.fleet.SetConfig(d.Config) {
		event.ConfigInForce.Log(n.Log, nil, logrus.Fields{"version": d.Config.Version})
		n.applyDrain()
		n.poke()
	}
	if d.Poison != nil {
		n.engine.SetSuspects(d.Poison.Suspects)
	}
	return n.fleet.Take(d)
}

// takeMembership takes over what a peer knows of a newer membership.
func (n *Node) takeMembership(d roster.Down) {
	if c := n.fleet.Take(d); c.Any() {
		n.tableChanged(c)
	}
}

// tableChanged hands a change of the membership to those who go by it. A
// server instance that turns up after the node got ready is cold.
func (n *Node) tableChanged(c roster.Change) {
	n.changing.Lock()
	defer n.changing.Unlock()
	t := n.fleet.Table()
	fresh := map[tier.ServerID]bool{}
	for id := range c.Servers {
		s, live := t.Servers[id]
		if live && n.isReady() && n.seen[id] != s.Instance {
			fresh[id] = true
		}
		if live {
			n.seen[id] = s.Instance
		}
	}
	n.owner.Update(n.fleet.Owned(), func(s tier.Announcement) bool { return fresh[s.Server] })
	n.engine.ServersChanged(c.Servers, t.Servers)
}

// serveWatch handles a node's subscription at a control host.
func (n *Node) serveWatch(ctx context.Context, s *conn.Stream) {
	var first roster.Up
	if s.Recv(&first) != nil {
		return
	}
	sub, ok := n.replica.Subscribe(s.Peer, first)
	if !ok {
		_ = s.Send(roster.Down{NotLeader: true, Leader: n.replica.Leader(ctx)})
		return
	}
	defer n.replica.Unsubscribe(sub)
	go func() {
		for {
			var up roster.Up
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
