package roster

import (
	"maps"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// View is a node's copy of the membership. It decides which servers the node
// may send to. The caller guards it by a lock.
type View struct {
	// Self is the node.
	Self tier.NodeID

	table   *Table
	owners  map[tier.ServerID]tier.NodeID
	zoned   map[tier.ServerID]tier.Zone
	since   map[tier.ServerID]Stamp
	settled Stamp
	known   bool

	beats   map[uint64]time.Duration
	beat    uint64
	renewed time.Duration
	leased  bool
}

// Start empties the view.
func (v *View) Start() {
	v.table = NewTable()
	v.owners = map[tier.ServerID]tier.NodeID{}
	v.zoned = map[tier.ServerID]tier.Zone{}
	v.since = map[tier.ServerID]Stamp{}
	v.beats = map[uint64]time.Duration{}
}

// Table returns the current table, which is never changed after it was returned.
func (v *View) Table() *Table { return v.table }

// Known reports whether the view has ever held a published table.
func (v *View) Known() bool { return v.known }

// NextBeat numbers a heartbeat that is about to be sent.
func (v *View) NextBeat(now time.Duration) uint64 {
	v.beat++
	v.beats[v.beat] = now
	return v.beat
}

// Leased reports whether the node's own lease, counted from when the last
// answered heartbeat was sent, is in force.
func (v *View) Leased(now time.Duration) bool { return v.leased && LeaseLeft(now, v.renewed) > 0 }

// LeaseLeft returns how long a lease is still in force that was last renewed at a time.
func LeaseLeft(now, renewed time.Duration) time.Duration { return NodeLease - (now - renewed) }

// Renewed returns the time at which the last answered heartbeat was sent; ok
// is false when none was answered.
func (v *View) Renewed() (at time.Duration, ok bool) { return v.renewed, v.leased }

// Change tells what a message changed: whether nodes did, and which servers.
type Change struct {
	Nodes   bool
	Servers map[tier.ServerID]bool
}

// Any reports whether anything changed.
func (c Change) Any() bool { return c.Nodes || len(c.Servers) > 0 }

// Add joins another change to c.
func (c *Change) Add(o Change) {
	c.Nodes = c.Nodes || o.Nodes
	if c.Servers == nil {
		c.Servers = o.Servers
		return
	}
	for id := range o.Servers {
		c.Servers[id] = true
	}
}

// Receive takes over a message of the hub and tells what changed by it.
func (v *View) Receive(d Down) Change {
	v.acknowledge(d.Beat)
	if d.Stamp.Less(v.table.Stamp) || d.Stamp == (Stamp{}) {
		return Change{}
	}
	var c Change
	if d.Stamp != v.table.Stamp || len(d.Whole) > 0 {
		c = v.take(d)
	}
	if v.settled.Less(d.Settled) {
		v.settled = d.Settled
	}
	v.known = true
	return c
}

func (v *View) acknowledge(beat uint64) {
	at, ok := v.beats[beat]
	if !ok {
		return
	}
	if !v.leased || at > v.renewed {
		v.renewed, v.leased = at, true
	}
	for b := range v.beats {
		if b <= beat {
			delete(v.beats, b)
		}
	}
}

func (v *View) take(d Down) Change {
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
	if v.moved(c) {
		v.reown()
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

// moved reports whether a change can have moved ownership: nodes changed, or
// a server came, went or changed its zone.
func (v *View) moved(c Change) bool {
	if c.Nodes {
		return true
	}
	for id := range c.Servers {
		zone, was := v.zoned[id]
		s, is := v.table.Servers[id]
		if was != is || zone != s.Zone {
			return true
		}
	}
	return false
}

// reown computes the owners anew and notes since when this node owns what it owns.
func (v *View) reown() {
	owners := v.table.Owners()
	v.zoned = make(map[tier.ServerID]tier.Zone, len(owners))
	for id, n := range owners {
		v.zoned[id] = v.table.Servers[id].Zone
		if n == v.Self && v.owners[id] != v.Self {
			v.since[id] = v.table.Stamp
		}
	}
	for id := range v.since {
		if owners[id] != v.Self {
			delete(v.since, id)
		}
	}
	v.owners = owners
}

// Owners returns the owner of every server; the map is never changed.
func (v *View) Owners() map[tier.ServerID]tier.NodeID { return v.owners }

// Since returns a copy of the states since which this node owns its servers.
func (v *View) Since() map[tier.ServerID]Stamp { return maps.Clone(v.since) }

// Settled returns the newest state that every live node has taken over.
func (v *View) Settled() Stamp { return v.settled }

// MaySend reports whether this node owns s and every live node knows that it does.
func (v *View) MaySend(s tier.ServerID) bool { return MaySend(v.since, v.settled, s) }

// MaySend reports whether a node with these servers, each owned since a state,
// owns s since one that is settled.
func MaySend(since map[tier.ServerID]Stamp, settled Stamp, s tier.ServerID) bool {
	at, owned := since[s]
	return owned && !settled.Less(at)
}
