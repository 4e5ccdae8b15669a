package reqst

import (
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
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
	cut, changed := d.reach.Update(now)
	if changed {
		tried, lost := d.reach.Counts(now)
		event.ServersOutOfReach.Log(d.Log, nil, logrus.Fields{"cut": cut, "tried": tried, "lost": lost})
	}
	return cut
}

// LostServers returns how many servers this node has tried lately, and how many of them it does not reach.
func (d *Forwarder) LostServers() (tried, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reach.Counts(d.Clock.Now())
}
