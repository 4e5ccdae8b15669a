package edge

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	rec          spread.Server
	since, until time.Duration
	// share is what this host may send until shareUntil; limited is false if the service's cold servers have no rate.
	share      terms.Cold
	limited    bool
	shareUntil time.Duration
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
		old := c.list[r.ID]
		is := r.Live() && r.RestMs > 0
		if is != (old != nil) {
			changed = append(changed, *r)
		}
		delete(c.list, r.ID)
		if !is {
			continue
		}
		s := &coldServer{rec: *r, since: now, until: now + r.RestMs.Duration() + coldMargin}
		if old != nil && old.rec.Born == r.Born {
			s.since = old.since
		}
		c.list[r.ID] = s
	}
	c.count.Store(int64(len(c.list)))
	return changed
}

// suspect counts a server as cold for a time, unless it is known to be cold: until its next record.
func (c *coldServers) suspect(now time.Duration, rec spread.Server, hold time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil {
		c.list = map[tier.ServerID]*coldServer{}
	}
	if c.list[rec.ID] == nil {
		c.list[rec.ID] = &coldServer{rec: rec, since: now, until: now + hold}
		c.count.Store(int64(len(c.list)))
	}
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

// get returns what this host may send to a server that is cold; compute returns it for a server's record.
func (c *coldServers) get(now time.Duration, id tier.ServerID, compute func(*spread.Server) (terms.Cold, bool)) (share terms.Cold, ok bool) {
	if c.count.Load() == 0 {
		return share, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.list[id]
	if s == nil || now >= s.until {
		return share, false
	}
	if now >= s.shareUntil {
		s.share, s.limited = compute(&s.rec)
		s.share.Since = s.since
		s.shareUntil = now + coldRateTTL
	}
	return s.share, s.limited
}

// serversWarm keeps track of which servers are cold.
func (n *Node) serversWarm(list []spread.Server) {
	for _, r := range n.cold.update(n.Clock.Now(), list) {
		if r.Home == n.Settings.ID {
			event.ServerCold.Log(n.Log, nil, logrus.Fields{"server": r.ID, "service": r.Service, "cold_ms": r.RestMs})
		}
	}
}

// serverRestarts counts a server that died some time ago as cold for as long as its record may outlive it: if it is restarted
// in that time, requests may reach it before its first announcement does.
func (n *Node) serverRestarts(id tier.ServerID, ago time.Duration) {
	hold := leaseIntervals*n.Settings.AnnounceInterval - ago
	if t := n.catalog.target(id); t != nil && hold > 0 {
		n.cold.suspect(n.Clock.Now(), t.rec, hold)
	}
}

// coldShare returns what this host may send to a cold server by the routing table and the list of hosts.
func (n *Node) coldShare(r *spread.Server) (c terms.Cold, ok bool) {
	t := n.Routes()
	if t == nil {
		return c, false
	}
	b := t.Backend(r.Service)
	if b == nil || b.ColdRate <= 0 {
		return c, false
	}
	return n.gossip.coldShares().cold(r, b.ColdRate, n.Settings.coldBound()), true
}

// cold returns what a host may send to a cold server that tolerates a rate.
func (r *rateShares) cold(s *spread.Server, tolerated float64, b terms.ColdBound) terms.Cold {
	rate := terms.ColdRate(tolerated, b, r.groups(s.Zone))
	return terms.Cold{Own: rate * terms.Rate(r.share(s.Zone)), Phase: r.phase(s.Zone, s.ID)}
}

// phase returns the place of this host among those with the same share, from 0 to 1, turned by a number of the server's.
func (r *rateShares) phase(z tier.Zone, id tier.ServerID) float64 {
	group := &r.others
	if r.selfBusy {
		group = &r.busy
	}
	rank, hosts := r.before.zones[z], group.zones[z]
	if z != r.selfZone {
		rank, hosts = r.before.all-rank, group.all-hosts
	}
	_, phase := math.Modf(float64(xxhash.Sum64String(string(id)))/math.MaxUint64 + float64(rank)/float64(max(1, hosts)))
	return phase
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

// updateCold returns the shares in cold servers' rates for a new list of hosts. Hosts that are down keep theirs, as they may be
// partitioned off and send to servers; meanwhile a host that becomes busy does not get the share of a busy one, as the others would
// not know. The shares thus add up to one at most on both sides of a partition.
func (r *shareTracker) updateCold(self tier.NodeID, hosts []spread.Host) rateShares {
	if r.cold == nil || !slices.ContainsFunc(hosts, func(h spread.Host) bool { return h.State == spread.HostDown }) {
		r.cold = map[tier.NodeID]bool{}
		for i := range hosts {
			if hosts[i].Active {
				r.cold[hosts[i].ID] = true
			}
		}
	}
	var s rateShares
	for i := range hosts {
		h := &hosts[i]
		busy := r.cold[h.ID]
		if h.ID == self {
			s.selfZone, s.selfBusy = h.Zone, busy
			s.before = s.others.clone()
			if busy {
				s.before = s.busy.clone()
			}
		}
		if busy {
			s.busy.add(h.Zone)
		} else {
			s.others.add(h.Zone)
		}
	}
	return s
}

func (c *zoneCounts) clone() zoneCounts { return zoneCounts{maps.Clone(c.zones), c.all} }

// groups returns the shares of all hosts for a server in a zone.
func (r *rateShares) groups(z tier.Zone) (out []terms.HostGroup) {
	for _, busy := range []bool{true, false} {
		count := &r.others
		if busy {
			count = &r.busy
		}
		near := count.zones[z]
		out = append(out, terms.HostGroup{Hosts: near, Share: r.shareOf(busy, true, z)}, terms.HostGroup{Hosts: count.all - near, Share: r.shareOf(busy, false, z)})
	}
	return out
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
	return t != nil && s.node.catalog.excluded(t.rec.Zone)
}

// Cold returns what this host may send to a server if it is cold.
func (s selection) Cold(now time.Duration, id tier.ServerID) (c terms.Cold, ok bool) {
	return s.node.cold.get(now, id, s.node.coldShare)
}
