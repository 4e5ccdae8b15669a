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

// Announce takes a server's announcement and tells it where else it may announce itself.
func (n *Node) Announce(a tier.Announcement) (tier.AnnounceAnswer, error) {
	if err := lease.Check(a); err != nil {
		return tier.AnnounceAnswer{}, err
	}
	n.mu.Lock()
	changed := n.leases.Announce(n.Clock.Now(), a)
	if changed {
		n.news = append(n.news, a)
	}
	n.mu.Unlock()
	if changed {
		event.ServerUp.Log(n.Log, nil, logrus.Fields{"server": a.Server, "instance": a.Instance, "service": a.Service, "zone": a.Zone, "draining": a.Draining})
		n.poke()
	}
	count := int(n.fleet.Config().Get(vers.KeyEntriesCount))
	return tier.AnnounceAnswer{LeaseMs: a.LeaseMs, Addresses: n.fleet.Addresses(count)}, nil
}

// watchLeases ends the leases of servers that no longer announce themselves here.
func (n *Node) watchLeases(ctx context.Context) error {
	t := time.NewTicker(leaseEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			n.expireLeases()
			n.owner.Trim()
			if n.owner.Leaving() > 0 || n.behind() {
				n.poke()
			}
		}
	}
}

// behind reports whether the leader still has an old word of what this node has taken over.
func (n *Node) behind() bool {
	stamp := n.fleet.Table().Stamp
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acked != stamp
}

func (n *Node) expireLeases() {
	n.mu.Lock()
	ended := n.leases.Expire(n.Clock.Now())
	for _, a := range ended {
		n.gone = append(n.gone, roster.Gone{Server: a.Server, Instance: a.Instance})
	}
	n.mu.Unlock()
	for _, a := range ended {
		event.ServerGone.Log(n.Log, nil, logrus.Fields{"server": a.Server, "instance": a.Instance})
	}
	if len(ended) > 0 {
		n.poke()
	}
}
