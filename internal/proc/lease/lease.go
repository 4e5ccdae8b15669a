// Package lease keeps the leases of the servers that announce themselves at
// a node. It is pure and not safe for concurrent use.
package lease

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Limits of an announcement.
const (
	LeastLease  tier.Millis = 500
	MostLease   tier.Millis = 60000
	MostSlots               = 10000
	MostNameLen             = 200
	MostHolding             = 64
	// MostShards bounds a snapshot, for which every node keeps a list of servers a shard.
	MostShards tier.Shard = 10000
)

type held struct {
	server tier.Announcement
	until  time.Duration
}

// Table holds the leases.
type Table struct {
	servers map[tier.ServerID]*held
}

// Start empties the table.
func (t *Table) Start() { t.servers = map[tier.ServerID]*held{} }

// Announce renews a lease; changed is true when others must hear of it.
func (t *Table) Announce(now time.Duration, a tier.Announcement) (changed bool) {
	h := t.servers[a.Server]
	if h == nil {
		h = &held{}
		t.servers[a.Server] = h
	}
	changed = !equal(h.server, a)
	h.server, h.until = a, now+a.LeaseMs.Duration()
	return changed
}

// Expire returns and drops the servers whose lease is over.
func (t *Table) Expire(now time.Duration) []tier.Announcement {
	var out []tier.Announcement
	for id, h := range t.servers {
		if now > h.until {
			out = append(out, h.server)
			delete(t.servers, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// All returns the servers that announce themselves here.
func (t *Table) All() []tier.Announcement {
	out := make([]tier.Announcement, 0, len(t.servers))
	for _, h := range t.servers {
		out = append(out, h.server)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

func equal(a, b tier.Announcement) bool {
	if len(a.Holdings) != len(b.Holdings) {
		return false
	}
	for i := range a.Holdings {
		if a.Holdings[i] != b.Holdings[i] {
			return false
		}
	}
	a.Holdings, b.Holdings = nil, nil
	return a.Server == b.Server && a.Instance == b.Instance && a.Service == b.Service && a.Zone == b.Zone &&
		a.Address == b.Address && a.Slots == b.Slots && a.Conns == b.Conns && a.Draining == b.Draining && a.LeaseMs == b.LeaseMs
}

// Check returns what is wrong with an announcement, naming the field.
func Check(a tier.Announcement) error {
	switch {
	case a.Server == "" || len(a.Server) > MostNameLen:
		return errors.Errorf("server: 1 to %d bytes are allowed", MostNameLen)
	case a.Instance == 0:
		return errors.New("instance: must not be 0")
	case a.Service == "" || len(a.Service) > MostNameLen:
		return errors.Errorf("service: 1 to %d bytes are allowed", MostNameLen)
	case len(a.Zone) > MostNameLen:
		return errors.Errorf("zone: at most %d bytes are allowed", MostNameLen)
	case a.Address == "" || len(a.Address) > MostNameLen:
		return errors.New("address: host:port is required")
	case a.Slots < 1 || a.Slots > MostSlots:
		return errors.Errorf("slots: 1 to %d are allowed", MostSlots)
	case a.Conns < 1 || a.Conns > MostSlots:
		return errors.Errorf("connections: 1 to %d are allowed", MostSlots)
	case a.LeaseMs < LeastLease || a.LeaseMs > MostLease:
		return errors.Errorf("lease_ms: %d to %d are allowed", LeastLease, MostLease)
	case len(a.Holdings) > MostHolding:
		return errors.Errorf("holdings: at most %d are allowed", MostHolding)
	}
	return checkHoldings(a.Holdings)
}

func checkHoldings(list []tier.Holding) error {
	for i, h := range list {
		if h.Snapshot.Shards > MostShards {
			return errors.Errorf("holdings[%d]: at most %d shards are allowed", i, MostShards)
		}
		if h.Snapshot.Shards == 0 || h.Shard >= h.Snapshot.Shards {
			return errors.Errorf("holdings[%d]: shard %d is not below %d", i, h.Shard, h.Snapshot.Shards)
		}
	}
	return nil
}
