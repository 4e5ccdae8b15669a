package ctrl

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// minPushInterval is the shortest interval at which membership changes are pushed to a node, so that a burst of
	// changes is sent as one message.
	minPushInterval = 100 * time.Millisecond
	subQueueLength  = 64
	// serversPerInterval is the number of servers for which the push interval grows by one minPushInterval.
	serversPerInterval = 1000
)

// firstLeaderTerm is the term of the first leader of a bootstrapped cluster. No lease can have been granted in an
// earlier term.
const firstLeaderTerm = bootstrapTerm + 1

// Sub is the subscription of a node to the membership, the configuration and the list of suspects.
type Sub struct {
	// Node is the subscribed node.
	Node tier.NodeID
	// Out carries the messages to the node; it is closed when the subscription ends.
	Out chan roster.HubMessage

	synced       bool
	digests      []uint64
	sentStamp    roster.Stamp
	sentSettled  roster.Stamp
	sentConfig   tier.ConfigVersion
	configSent   bool
	sentSuspects uint64
	lastPush     time.Duration
	closed       bool
}

func (s *Sub) close() {
	if !s.closed {
		s.closed = true
		close(s.Out)
	}
}

// enqueue queues a message. If the queue is full, it closes the subscription, and the node has to resubscribe and
// resynchronize.
func (s *Sub) enqueue(d roster.HubMessage) bool {
	if s.closed {
		return false
	}
	select {
	case s.Out <- d:
		return true
	default:
		s.close()
		return false
	}
}

// Subscribe adds a subscription that begins with the node's first message. ok is false if this replica is not a
// confirmed leader.
func (r *Replica) Subscribe(node tier.NodeID, first roster.NodeMessage) (sub *Sub, ok bool) {
	sub = &Sub{Node: node, Out: make(chan roster.HubMessage, subQueueLength), digests: first.Digests, sentConfig: first.Config, configSent: first.Config > 0}
	done := make(chan bool, 1)
	add := func() {
		if r.hub == nil {
			done <- false
			return
		}
		r.subs[sub] = true
		r.handleUp(sub, first)
		done <- true
	}
	select {
	case r.loopCalls <- add:
	case <-r.stopped:
		return nil, false
	}
	select {
	case ok = <-done:
		return sub, ok
	case <-r.stopped:
		return nil, false
	}
}

// Receive passes a message from the subscribed node to the hub.
func (r *Replica) Receive(sub *Sub, up roster.NodeMessage) {
	select {
	case r.loopCalls <- func() { r.handleUp(sub, up) }:
	case <-r.stopped:
	}
}

// Unsubscribe ends a subscription.
func (r *Replica) Unsubscribe(sub *Sub) {
	select {
	case r.loopCalls <- func() { r.removeSub(sub) }:
	case <-r.stopped:
	}
}

func (r *Replica) removeSub(sub *Sub) {
	delete(r.subs, sub)
	sub.close()
}

func (r *Replica) handleUp(sub *Sub, up roster.NodeMessage) {
	if r.hub == nil || sub.closed {
		return
	}
	now := r.Clock.Now()
	r.hub.Receive(now, sub.Node, up)
	if !up.Leaving && !r.hub.Member(sub.Node) {
		r.removeSub(sub)
		return
	}
	if len(up.Digests) > 0 {
		sub.digests, sub.synced = up.Digests, false
	}
	r.push(now, sub, up.Beat)
}

// tickHub opens the hub once leadership is confirmed, and then pushes changes to the subscribers.
func (r *Replica) tickHub(now time.Duration) {
	if r.NoHub {
		return
	}
	if r.hub == nil {
		r.openHub()
		return
	}
	r.hub.Tick(now)
	interval := pushInterval(len(r.hub.Table().Servers))
	for s := range r.subs {
		if now-s.lastPush >= interval {
			r.push(now, s, 0)
		}
	}
}

// pushAll sends a new configuration or list of suspects to every subscriber without waiting for the push interval.
func (r *Replica) pushAll() {
	if r.hub == nil || !r.core.Serving() {
		return
	}
	now := r.Clock.Now()
	for s := range r.subs {
		r.push(now, s, 0)
	}
}

// pushInterval returns the time between two pushes of membership changes. It grows with the number of servers, because
// each node recomputes the owners and the catalog for each push.
func pushInterval(servers int) time.Duration {
	return minPushInterval * time.Duration(1+servers/serversPerInterval)
}

func (r *Replica) openHub() {
	if !r.core.Serving() || r.hubOpening {
		return
	}
	r.hubOpening = true
	term := r.core.Term()
	r.confirmLeadership(func(d quorum.ReadDone) {
		r.hubOpening = false
		if d.Failed || r.core.Term() != term {
			return
		}
		h := &roster.Hub{Epoch: term, Grace: hubGracePeriod}
		if term == firstLeaderTerm {
			h.Grace = 0
		}
		h.Start(r.Clock.Now())
		r.hub = h
		event.HubOpened.Log(r.Log, nil, logrus.Fields{"epoch": term})
	})
}

func (r *Replica) closeHub() {
	r.hub = nil
	for s := range r.subs {
		r.removeSub(s)
	}
}

// push sends a subscriber the changes since the last push, if any. If beat is not 0, it acknowledges that heartbeat and
// always sends a message.
func (r *Replica) push(now time.Duration, s *Sub, beat uint64) {
	d, changed := r.membershipUpdate(s)
	d.Beat = beat
	if c := r.store.Config(); c.Version != s.sentConfig || !s.configSent {
		d.Config, s.sentConfig, s.configSent, changed = c, c.Version, true, true
	}
	if p := r.store.SuspectsVersion() + 1; p != s.sentSuspects {
		d.Poison, s.sentSuspects, changed = &roster.Poison{Suspects: r.store.Suspects()}, p, true
	}
	if !changed && beat == 0 {
		return
	}
	s.lastPush = now
	if !s.enqueue(d) {
		delete(r.subs, s)
	}
}

func (r *Replica) membershipUpdate(s *Sub) (d roster.HubMessage, changed bool) {
	if !r.hub.Open() {
		return roster.HubMessage{}, false
	}
	ok := false
	if s.synced {
		d, ok = r.hub.Since(s.sentStamp.Seq)
	}
	if !ok {
		d = r.hub.Resync(s.digests)
	}
	changed = !s.synced || d.Stamp != s.sentStamp || d.Settled != s.sentSettled
	s.synced, s.sentStamp, s.sentSettled = true, d.Stamp, d.Settled
	return d, changed
}

// Lagging returns the nodes that have not yet applied configuration version v.
func (r *Replica) Lagging(ctx context.Context, v tier.ConfigVersion) ([]tier.NodeID, error) {
	var ids []tier.NodeID
	err := tier.ErrNotLeader
	e := r.runInLoop(ctx, func() {
		if r.hub != nil && r.core.Serving() {
			ids, err = r.hub.Lagging(v), nil
		}
	})
	if e != nil {
		return nil, e
	}
	return ids, err
}
