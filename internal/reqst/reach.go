package reqst

import (
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// suspendedAfter is the time between two calls of UpdateReach after which the process counts as suspended.
const suspendedAfter = 500 * time.Millisecond

// recordReach records whether a server was reached. It is called with mu held.
func (d *Forwarder) recordReach(now time.Duration, id tier.ServerID, rep *directReply) {
	switch {
	case rep.answer.Status != 0 || rep.Reason == tier.ReasonTruncated || rep.Reason == tier.ReasonNoRoom:
		d.reach.Answered(now, id)
	case rep.Reason == tier.ReasonLost || rep.Reason == tier.ReasonRefused:
		d.reach.Failed(now, id)
	}
}

// UpdateReach decides whether this node is cut off from the servers; it must be called several times a second.
func (d *Forwarder) UpdateReach() (cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if now-d.reachUpdated > suspendedAfter {
		d.reach.Suspended(now)
	}
	d.reachUpdated = now
	if d.cut.Load() {
		// Servers that are gone would prolong the cut.
		d.reach.Forget(d.known)
	}
	cut, changed := d.reach.Update(now)
	if changed {
		d.setCut(cut)
		tried, lost := d.reach.Counts(now)
		event.ServersOutOfReach.Log(d.Log, nil, logrus.Fields{"cut": cut, "tried": tried, "lost": lost})
	}
	return cut
}

// setCut makes requests that wait for servers go on through other nodes. It is called with mu held.
func (d *Forwarder) setCut(cut bool) {
	d.cut.Store(cut)
	if cut {
		close(d.cutSignal)
		return
	}
	d.cutSignal = make(chan struct{})
}

// cutSignal returns a channel that is closed when this node turns out to be cut off, or nil if it is already, or if the request
// must not be sent through another node because it may have run, or came from one.
func (f *forwarding) cutSignal() <-chan struct{} {
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	if !f.route.Idempotent || !d.relayable(f.in) || d.cut.Load() {
		return nil
	}
	return d.cutSignal
}

// divert gives up the servers of an idempotent request that no longer reaches them, if the budget allows that other
// servers get it once more.
func (f *forwarding) divert() bool {
	d := f.forwarder
	now := d.Clock.Now()
	if f.plan.Covered() {
		return false
	}
	acct := f.account()
	if _, _, ok := d.pickRelay(now, &acct); !ok || !d.spendRepeats(f.services) {
		return false
	}
	f.plan.Abort()
	f.diverted = true
	d.Stats.Count("diverted", f.route.Name)
	event.RequestDiverted.Log(d.Log, nil, logrus.Fields{"request": f.in.ID, "route": f.route.Name, "after_ms": (now - f.attempts.start).Milliseconds()})
	return true
}

// account returns the account of a request that this node gives up because it is cut off. Servers count as attempts unless their
// connections broke: those that are only silent may be overloaded and run the request yet.
func (f *forwarding) account() account {
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	used := f.plan.Used(func(id tier.ServerID, _ time.Duration) bool { return d.reach.Broken(id) })
	return account{limit: f.route.MaxAttempts(), used: used, ran: f.plan.Ran(), counted: true}
}

// countLostShards returns the number of shards of which this node reaches no server.
func (f *forwarding) countLostShards(now time.Duration, l *vers.Layout) (n int) {
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range l.Shards {
		reached := len(list) == 0
		for _, c := range list {
			reached = reached || !d.reach.Lost(now, c.Server)
		}
		if !reached {
			n++
		}
	}
	return n
}

// LostServers returns how many servers this node has tried lately, and how many of them it does not reach.
func (d *Forwarder) LostServers() (tried, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reach.Counts(d.Clock.Now())
}

// LostServersToProbe returns servers that this node does not reach, at most limit of them.
func (d *Forwarder) LostServersToProbe(limit int) []tier.ServerID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reach.LostServers(d.Clock.Now(), nil, limit)
}

// ServerReached records that a server has accepted a connection.
func (d *Forwarder) ServerReached(id tier.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reach.Answered(d.Clock.Now(), id)
}
