package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/lease"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Announce renews a server's lease, and returns addresses at which it may announce itself.
func (n *Node) Announce(a tier.Announcement) (tier.AnnounceAnswer, error) {
	if err := lease.Check(a); err != nil {
		return tier.AnnounceAnswer{}, err
	}
	n.mu.Lock()
	changed := n.leases.Announce(n.Clock.Now(), a)
	if changed {
		n.changedServers = append(n.changedServers, a)
	}
	n.mu.Unlock()
	if changed {
		event.ServerAnnounced.Log(n.Log, nil, logrus.Fields{"server": a.Server, "instance": a.Instance, "service": a.Service, "zone": a.Zone, "draining": a.Draining})
		n.notifyLeader()
	}
	count := int(n.fleet.Config().Get(vers.KeyEntriesCount))
	return tier.AnnounceAnswer{LeaseMs: a.LeaseMs, Addresses: n.fleet.Addresses(count)}, nil
}

// watchLeases expires the leases of servers that no longer announce themselves here and closes
// idle connections. It notifies the leader while this node has not yet fully applied the newest
// membership that it received (requests still run on servers that it no longer owns), or has not yet
// acknowledged that membership to the leader.
func (n *Node) watchLeases(ctx context.Context) error {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			n.expireLeases()
			n.owner.CloseExpired()
			if n.owner.BusyReleased() > 0 || n.ackPending() {
				n.notifyLeader()
			}
		}
	}
}

// ackPending reports whether the newest membership is not yet acknowledged to the leader.
func (n *Node) ackPending() bool {
	stamp := n.fleet.Table().Stamp
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acked != stamp
}

func (n *Node) expireLeases() {
	n.mu.Lock()
	ended := n.leases.Expire(n.Clock.Now())
	for _, a := range ended {
		n.goneServers = append(n.goneServers, roster.Gone{Server: a.Server, Instance: a.Instance})
	}
	n.mu.Unlock()
	for _, a := range ended {
		event.ServerLeaseEnded.Log(n.Log, nil, logrus.Fields{"server": a.Server, "instance": a.Instance})
	}
	if len(ended) > 0 {
		n.notifyLeader()
	}
}
