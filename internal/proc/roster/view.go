package roster

import (
	"maps"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// View is a node's copy of the membership. It decides which servers the node may send to. It is not safe for concurrent
// use; the caller holds a lock.
type View struct {
	// Self is the id of the node that holds this view.
	Self tier.NodeID

	table         *Table
	owners        map[tier.ServerID]tier.NodeID
	assignedZones map[tier.ServerID]tier.Zone
	ownedSince    map[tier.ServerID]Stamp
	settled       Stamp
	hasTable      bool

	sentBeats   map[uint64]time.Duration
	lastBeat    uint64
	lastRenewed time.Duration
	leased      bool
}

// Start resets the view to an empty table.
func (v *View) Start() {
	v.table = NewTable()
	v.owners = map[tier.ServerID]tier.NodeID{}
	v.assignedZones = map[tier.ServerID]tier.Zone{}
	v.ownedSince = map[tier.ServerID]Stamp{}
	v.sentBeats = map[uint64]time.Duration{}
}

// Table returns the current table. Tables are immutable once returned.
func (v *View) Table() *Table { return v.table }

// HasTable reports whether the view has ever received a published table.
func (v *View) HasTable() bool { return v.hasTable }

// NextBeat returns the number of a heartbeat that is about to be sent and records the time.
func (v *View) NextBeat(now time.Duration) uint64 {
	v.lastBeat++
	v.sentBeats[v.lastBeat] = now
	return v.lastBeat
}

// Leased reports whether the node's own lease is valid, counted from when the last acknowledged heartbeat was sent.
func (v *View) Leased(now time.Duration) bool { return v.leased && LeaseLeft(now, v.lastRenewed) > 0 }

// LeaseLeft returns the remaining time of a lease that was last renewed at renewed; it is not positive after expiry.
func LeaseLeft(now, renewed time.Duration) time.Duration { return NodeLease - (now - renewed) }

// Renewed returns the time at which the last acknowledged heartbeat was sent; ok is false if none was acknowledged.
func (v *View) Renewed() (at time.Duration, ok bool) { return v.lastRenewed, v.leased }

// Change describes what a message changed: whether any node record did, and which server records.
type Change struct {
	Nodes   bool
	Servers map[tier.ServerID]bool
}

// Any reports whether anything changed.
func (c Change) Any() bool { return c.Nodes || len(c.Servers) > 0 }

// Merge merges another change into c.
func (c *Change) Merge(o Change) {
	c.Nodes = c.Nodes || o.Nodes
	if c.Servers == nil {
		c.Servers = o.Servers
		return
	}
	for id := range o.Servers {
		c.Servers[id] = true
	}
}

// Receive applies a message from the hub and returns what it changed. Messages older than the table are ignored.
func (v *View) Receive(d HubMessage) Change {
	v.acknowledge(d.Beat)
	if d.Stamp.Less(v.table.Stamp) || d.Stamp == (Stamp{}) {
		return Change{}
	}
	var c Change
	if d.Stamp != v.table.Stamp || len(d.Whole) > 0 {
		c = v.apply(d)
	}
	if v.settled.Less(d.Settled) {
		v.settled = d.Settled
	}
	v.hasTable = true
	return c
}

func (v *View) acknowledge(beat uint64) {
	at, ok := v.sentBeats[beat]
	if !ok {
		return
	}
	if !v.leased || at > v.lastRenewed {
		v.lastRenewed, v.leased = at, true
	}
	for b := range v.sentBeats {
		if b <= beat {
			delete(v.sentBeats, b)
		}
	}
}

func (v *View) apply(d HubMessage) Change {
	c := Change{Servers: map[tier.ServerID]bool{}}
	t := v.table.clone()
	t.Stamp = d.Stamp
	dropBuckets(t, d.Whole, &c)
	for _, n := range d.Nodes {
		c.Nodes = true
		t.Nodes[n.ID] = n
	}
	for _, s := range d.Servers {
		c.Servers[s.Server] = true
		t.Servers[s.Server] = s
	}
	for _, id := range d.GoneNodes {
		c.Nodes = true
		delete(t.Nodes, id)
	}
	for _, id := range d.GoneServers {
		c.Servers[id] = true
		delete(t.Servers, id)
	}
	v.table = t
	if v.ownersMayChange(c) {
		v.recomputeOwners()
	}
	return c
}

func dropBuckets(t *Table, whole []int, c *Change) {
	if len(whole) == 0 {
		return
	}
	var drop [Buckets]bool
	for _, b := range whole {
		if b >= 0 && b < Buckets {
			drop[b] = true
		}
	}
	for id := range t.Nodes {
		if drop[bucketOf(string(id))] {
			c.Nodes = true
			delete(t.Nodes, id)
		}
	}
	for id := range t.Servers {
		if drop[bucketOf(string(id))] {
			c.Servers[id] = true
			delete(t.Servers, id)
		}
	}
}

// ownersMayChange reports whether c can change the owner of a server: node records changed, or a server was added,
// removed or moved to another zone.
func (v *View) ownersMayChange(c Change) bool {
	if c.Nodes {
		return true
	}
	for id := range c.Servers {
		zone, assigned := v.assignedZones[id]
		s, exists := v.table.Servers[id]
		if assigned != exists || zone != s.Zone {
			return true
		}
	}
	return false
}

// recomputeOwners computes the owners and records, for each server of this node, the state since which it is the owner.
func (v *View) recomputeOwners() {
	owners := v.table.Owners()
	v.assignedZones = make(map[tier.ServerID]tier.Zone, len(owners))
	for id, n := range owners {
		v.assignedZones[id] = v.table.Servers[id].Zone
		if n == v.Self && v.owners[id] != v.Self {
			v.ownedSince[id] = v.table.Stamp
		}
	}
	for id := range v.ownedSince {
		if owners[id] != v.Self {
			delete(v.ownedSince, id)
		}
	}
	v.owners = owners
}

// Owners returns the owner of every server; the map is immutable.
func (v *View) Owners() map[tier.ServerID]tier.NodeID { return v.owners }

// Since returns, for every server that this node owns, the state since which it does. The map is a copy.
func (v *View) Since() map[tier.ServerID]Stamp { return maps.Clone(v.ownedSince) }

// Settled returns the newest state that every live node is known to have applied.
func (v *View) Settled() Stamp { return v.settled }

// MaySend reports whether this node owns s and every live node has applied the state that made it the owner.
func (v *View) MaySend(s tier.ServerID) bool { return MaySend(v.ownedSince, v.settled, s) }

// MaySend reports whether a node owns s since a settled state. since holds the node's servers with the states since
// which it owns them.
func MaySend(since map[tier.ServerID]Stamp, settled Stamp, s tier.ServerID) bool {
	at, owned := since[s]
	return owned && !settled.Less(at)
}
