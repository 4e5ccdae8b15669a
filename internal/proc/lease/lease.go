// Package lease tracks the leases of the servers that announce themselves to a node. It performs no I/O, reads no clock
// and is not safe for concurrent use.
package lease

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Limits of an announcement.
const (
	MinLease    tier.Millis = 500
	MaxLease    tier.Millis = 60000
	MaxSlots                = 10000
	MaxHoldings             = 64
	// MaxShards limits the shards of a snapshot, because every node keeps a list of servers for each shard.
	MaxShards tier.Shard = 10000
)

type lease struct {
	announcement tier.Announcement
	expires      time.Duration
}

// Table holds the leases of all servers announced to one node.
type Table struct {
	servers map[tier.ServerID]*lease
}

// Start initializes the table to be empty.
func (t *Table) Start() { t.servers = map[tier.ServerID]*lease{} }

// Announce creates or renews a server's lease. changed is true if the announcement differs from the previous one and
// must be forwarded.
func (t *Table) Announce(now time.Duration, a tier.Announcement) (changed bool) {
	h := t.servers[a.Server]
	if h == nil {
		h = &lease{}
		t.servers[a.Server] = h
	}
	changed = !equal(h.announcement, a)
	h.announcement, h.expires = a, now+a.LeaseMs.Duration()
	return changed
}

// Expire removes the servers whose lease has expired and returns their last announcements, sorted by server.
func (t *Table) Expire(now time.Duration) []tier.Announcement {
	var out []tier.Announcement
	for id, h := range t.servers {
		if now > h.expires {
			out = append(out, h.announcement)
			delete(t.servers, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// All returns the announcements of all servers with a lease, sorted by server.
func (t *Table) All() []tier.Announcement {
	out := make([]tier.Announcement, 0, len(t.servers))
	for _, h := range t.servers {
		out = append(out, h.announcement)
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

// Check validates an announcement. The error names the first invalid field.
func Check(a tier.Announcement) error {
	switch {
	case a.Instance == 0:
		return errors.New("instance: must not be 0")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return errors.Errorf("slots: 1 to %d are allowed", MaxSlots)
	case a.Conns < 1 || a.Conns > MaxSlots:
		return errors.Errorf("connections: 1 to %d are allowed", MaxSlots)
	case a.LeaseMs < MinLease || a.LeaseMs > MaxLease:
		return errors.Errorf("lease_ms: %d to %d are allowed", MinLease, MaxLease)
	case len(a.Holdings) > MaxHoldings:
		return errors.Errorf("holdings: at most %d are allowed", MaxHoldings)
	}
	for _, err := range []error{a.Server.Check(), a.Service.Check(), a.Zone.Check(), tier.CheckAddress(a.Address)} {
		if err != nil {
			return err
		}
	}
	return checkHoldings(a.Holdings)
}

func checkHoldings(list []tier.Holding) error {
	for i, h := range list {
		if h.Snapshot.Shards > MaxShards {
			return errors.Errorf("holdings[%d]: at most %d shards are allowed", i, MaxShards)
		}
		if h.Snapshot.Shards == 0 || h.Shard >= h.Snapshot.Shards {
			return errors.Errorf("holdings[%d]: shard %d is not below %d", i, h.Shard, h.Snapshot.Shards)
		}
	}
	return nil
}
