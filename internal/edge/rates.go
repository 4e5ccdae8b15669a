package edge

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// sameZoneWeight is the weight of a host in the server's zone against one in another zone: hosts prefer the servers of
	// their own zone.
	sameZoneWeight = 4
	// downShareHold is how long a host that is down keeps its share of servers' limits. It may be cut off from this host
	// only, and still send to servers.
	downShareHold = time.Minute
)

// zoneCounts holds numbers of hosts: in each zone and in all.
type zoneCounts struct {
	zones map[tier.Zone]int
	all   int
}

func (c *zoneCounts) add(z tier.Zone) {
	if c.zones == nil {
		c.zones = map[tier.Zone]int{}
	}
	c.zones[z]++
	c.all++
}

// weight returns the sum of the hosts' weights for a server in a zone.
func (c *zoneCounts) weight(z tier.Zone) float64 {
	return float64(c.all + (sameZoneWeight-1)*c.zones[z])
}

// rateShares tells this host's share of the limit that a server names: the busy hosts have busyShare of it, the others the
// rest, in each case by weight.
type rateShares struct {
	selfZone     tier.Zone
	selfBusy     bool
	busy, others zoneCounts
	// before counts the hosts of this host's group, busy or not, that precede it in the list.
	before zoneCounts
}

// share returns the share for a server in a zone; the shares of all hosts add up to one at most.
func (r *rateShares) share(z tier.Zone) float64 { return r.shareOf(r.selfBusy, z == r.selfZone, z) }

// shareOf returns the share of a host that is busy or not, and in the server's zone or not.
func (r *rateShares) shareOf(busy, near bool, z tier.Zone) float64 {
	group, part := &r.others, 1-busyShare
	if busy {
		group, part = &r.busy, busyShare
	}
	if r.busy.all == 0 || r.others.all == 0 {
		part = 1
	}
	own := 1.0
	if near {
		own = sameZoneWeight
	}
	return part * own / max(own, group.weight(z))
}

// shareTracker keeps track of the hosts that share servers' limits. It does no I/O and is not safe for concurrent use.
type shareTracker struct {
	downSince map[tier.NodeID]time.Duration
	// cold are the hosts that were busy while none was down.
	cold map[tier.NodeID]bool
}

// update returns the shares for a new list of hosts.
func (r *shareTracker) update(now time.Duration, self tier.NodeID, hosts []spread.Host) rateShares {
	if r.downSince == nil {
		r.downSince = map[tier.NodeID]time.Duration{}
	}
	var s rateShares
	for i := range hosts {
		h := &hosts[i]
		if h.ID == self {
			s.selfZone, s.selfBusy = h.Zone, h.Active
		} else if r.left(now, h) {
			continue
		}
		if h.Active {
			s.busy.add(h.Zone)
		} else {
			s.others.add(h.Zone)
		}
	}
	return s
}

// left reports whether a host has been down for so long that it has no share any more.
func (r *shareTracker) left(now time.Duration, h *spread.Host) bool {
	if h.State != spread.HostDown {
		delete(r.downSince, h.ID)
		return false
	}
	since, known := r.downSince[h.ID]
	if !known {
		r.downSince[h.ID] = now
		return false
	}
	return now-since >= downShareHold
}
