package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// coldMargin is added to a stated warm-up time: a server's home tells other hosts only if its end moves by more.
	coldMargin = 500 * time.Millisecond
	// coldRateTTL is how long a computed rate is used; it changes with the hosts and with the routing table.
	coldRateTTL = time.Second
)

// coldServer is a server that has stated that it is cold.
type coldServer struct {
	rec   spread.Server
	until time.Duration
	// own is this host's rate until ownUntil; limited is false if the service's cold servers have no rate.
	own      terms.Rate
	limited  bool
	ownUntil time.Duration
}

// coldServers holds the cold servers. Lock order: mu is taken last.
type coldServers struct {
	mu    sync.Mutex
	list  map[tier.ServerID]*coldServer
	count atomic.Int64
}

// update applies new versions of records, and returns those of servers that became cold or warm.
func (c *coldServers) update(now time.Duration, records []spread.Server) (changed []spread.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil {
		c.list = map[tier.ServerID]*coldServer{}
	}
	for i := range records {
		r := &records[i]
		_, was := c.list[r.ID]
		is := r.Live() && r.RestMs > 0
		if is != was {
			changed = append(changed, *r)
		}
		delete(c.list, r.ID)
		if is {
			c.list[r.ID] = &coldServer{rec: *r, until: now + r.RestMs.Duration() + coldMargin}
		}
	}
	c.count.Store(int64(len(c.list)))
	return changed
}

// expire drops the servers whose warm-up time is over, so that choices are unrestricted again.
func (c *coldServers) expire(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.list {
		if now >= s.until {
			delete(c.list, id)
		}
	}
	c.count.Store(int64(len(c.list)))
}

// rate returns this host's rate for a server that is cold; compute returns it for a server's record.
func (c *coldServers) rate(now time.Duration, id tier.ServerID, compute func(*spread.Server) (terms.Rate, bool)) (own terms.Rate, ok bool) {
	if c.count.Load() == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.list[id]
	if s == nil || now >= s.until {
		return 0, false
	}
	if now >= s.ownUntil {
		s.own, s.limited = compute(&s.rec)
		s.ownUntil = now + coldRateTTL
	}
	return s.own, s.limited
}

// serversWarm keeps track of which servers are cold.
func (n *Node) serversWarm(list []spread.Server) {
	for _, r := range n.cold.update(n.Clock.Now(), list) {
		if r.Home == n.Settings.ID {
			event.ServerCold.Log(n.Log, nil, logrus.Fields{"server": r.ID, "service": r.Service, "cold_ms": r.RestMs})
		}
	}
}

// coldRate returns the rate at which this host may send to a cold server by the routing table and the list of hosts.
func (n *Node) coldRate(r *spread.Server) (own terms.Rate, ok bool) {
	t := n.Routes()
	if t == nil {
		return 0, false
	}
	b := t.Backend(r.Service)
	if b == nil || b.ColdRate <= 0 {
		return 0, false
	}
	share, groups := n.gossip.limitShares().coldShare(r.Zone)
	return terms.ColdRate(b.ColdRate, n.Settings.coldBound(), groups) * terms.Rate(share), true
}

// Bounds of a cold server's rate if the settings have none.
const (
	defaultColdOverage   = 1.5
	defaultColdTolerance = 5
)

// coldBound returns the bound of the requests to a cold server.
func (s *Settings) coldBound() terms.ColdBound {
	b := s.Cold
	if b.Overage <= 0 {
		b.Overage = defaultColdOverage
	}
	if b.Tolerance <= 0 {
		b.Tolerance = defaultColdTolerance
	}
	return b
}

// coldShare returns this host's share of a cold server's rate, and the shares of all hosts. They depend neither on the traffic
// of the hosts nor on whether they are up, so that they add up to one at most also while the fleet is partitioned.
func (r *rateShares) coldShare(z tier.Zone) (own float64, groups []terms.HostGroup) {
	unit := 1 / max(1, r.known.weight(z))
	same := r.known.zones[z]
	groups = []terms.HostGroup{{Hosts: same, Share: sameZoneWeight * unit}, {Hosts: r.known.all - same, Share: unit}}
	if z == r.selfZone && same > 0 {
		return sameZoneWeight * unit, groups
	}
	return unit, groups
}

// selection restricts the choice of servers to those that are not evacuated, and names the cold ones.
type selection struct{ node *Node }

// Restricted reports whether any zone is evacuated or any server cold.
func (s selection) Restricted() bool {
	return s.node.cold.count.Load() > 0 || s.node.evacuations.any()
}

// Evacuated reports whether a server's zone is evacuated.
func (s selection) Evacuated(id tier.ServerID) bool {
	t := s.node.catalog.target(id)
	return t != nil && s.node.catalog.excluded(t)
}

// ColdRate returns this host's rate for a server if it is cold.
func (s selection) ColdRate(now time.Duration, id tier.ServerID) (own terms.Rate, ok bool) {
	return s.node.cold.rate(now, id, s.node.coldRate)
}
