// Package fleet holds a node's view of the fleet: membership, server owners, catalog and the configuration in force. On
// that basis it decides whether the node may serve callers and send to servers.
package fleet

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Unsafe lists safety mechanisms of a Fleet that a trace may disable to show the faults they prevent.
type Unsafe struct {
	// AcceptOlderConfig also accepts configurations older than the one in force.
	AcceptOlderConfig bool
	// IgnoreLease lets the node serve without a valid lease.
	IgnoreLease bool
	// KeepDraining keeps draining nodes in address lists and draining servers in the catalog.
	KeepDraining bool
	// PinNewest pins the newest snapshot even if it is incomplete.
	PinNewest bool
}

// membership is an immutable copy of the membership for readers. A new one is built separately and swapped in
// atomically, so that no request waits for an update.
type membership struct {
	table   *roster.Table
	owners  map[tier.ServerID]tier.NodeID
	since   map[tier.ServerID]roster.Stamp
	entries int
}

// Fleet is a node's view of the fleet. It is safe for concurrent use: mu serializes updates and is not held during
// calls to other components; readers take no lock.
type Fleet struct {
	// Self is the id of this node.
	Self tier.NodeID
	// Zone is the zone of this node.
	Zone tier.Zone
	// Clock provides the monotonic time against which leases are checked.
	Clock tier.Clock
	// Unsafe disables safety mechanisms in traces; it is zero otherwise.
	Unsafe Unsafe

	mu         sync.Mutex
	view       roster.View
	membership atomic.Pointer[membership]
	settled    atomic.Pointer[roster.Stamp]
	renewed    atomic.Int64
	known      atomic.Bool
	config     atomic.Pointer[vers.Config]
	catalog    atomic.Pointer[vers.Catalog]
	// changed is closed and replaced whenever the catalog is replaced.
	changed atomic.Pointer[chan struct{}]
	// peersReached is set while most of the polled peers answer, noControl while they do and none of them has had
	// recent contact with the control leader.
	peersReached, noControl atomic.Bool
}

// Start initializes the fleet with an empty membership and catalog.
func (f *Fleet) Start() {
	f.view.Self = f.Self
	f.view.Start()
	f.renewed.Store(neverRenewed)
	f.publish(true)
	f.catalog.Store(vers.NewCatalog(nil, nil))
	next := make(chan struct{})
	f.changed.Store(&next)
}

// setCatalog replaces the catalog and wakes those who wait on Changed.
func (f *Fleet) setCatalog(c *vers.Catalog) {
	f.catalog.Store(c)
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}

// Changed returns a channel that is closed when the current catalog is replaced.
func (f *Fleet) Changed() <-chan struct{} { return *f.changed.Load() }

// neverRenewed is a renewal time so far in the past that the lease has always expired; halved, as the subtraction in
// LeaseLeft would overflow.
const neverRenewed = math.MinInt64 / 2

// Apply applies a message from the hub and returns what it changed.
func (f *Fleet) Apply(d roster.HubMessage) roster.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.view.Table()
	c := f.view.Receive(d)
	if len(c.Servers) > 0 {
		f.setCatalog(f.catalog.Load().With(f.view.Table().Servers, f.drainedFunc(), changedServices(c, before, f.view.Table())))
	}
	f.publish(c.Any() || before != f.view.Table())
	return c
}

// publish makes the view's current state visible to readers. tableChanged says that the membership must be rebuilt too.
func (f *Fleet) publish(tableChanged bool) {
	if tableChanged {
		m := &membership{table: f.view.Table(), owners: f.view.Owners(), since: f.view.Since()}
		for _, n := range m.table.Nodes {
			if n.Entry && !n.Draining {
				m.entries++
			}
		}
		f.membership.Store(m)
	}
	settled := f.view.Settled()
	f.settled.Store(&settled)
	f.known.Store(f.view.HasTable())
	if at, ok := f.view.Renewed(); ok {
		f.renewed.Store(int64(at))
	}
}

// changedServices returns the services to which the changed servers belong, before or after the change.
func changedServices(c roster.Change, before, after *roster.Table) map[tier.Service]bool {
	out := map[tier.Service]bool{}
	for id := range c.Servers {
		for _, t := range []*roster.Table{before, after} {
			if s, ok := t.Servers[id]; ok {
				out[s.Service] = true
			}
		}
	}
	return out
}

// drainedFunc returns a function that reports whether a server drains, by its own announcement or by an operator's
// exception.
func (f *Fleet) drainedFunc() func(tier.ServerID) bool {
	servers := f.view.Table().Servers
	drainedByOperator := f.Config().Drained(vers.ScopeServer)
	keep := f.Unsafe.KeepDraining
	return func(id tier.ServerID) bool { return !keep && (servers[id].Draining || drainedByOperator[string(id)]) }
}

// SetConfig puts a configuration in force if its version is higher than that in force, and reports whether it did.
func (f *Fleet) SetConfig(c *vers.Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.config.Load()
	if c == nil || (old != nil && c.Version <= old.Version && !f.Unsafe.AcceptOlderConfig) {
		return false
	}
	f.config.Store(c)
	f.setCatalog(vers.NewCatalog(f.view.Table().Servers, f.drainedFunc()))
	return true
}

// Config returns the configuration in force, or an empty one, with the built-in defaults, before the first SetConfig.
func (f *Fleet) Config() *vers.Config {
	if c := f.config.Load(); c != nil {
		return c
	}
	return &vers.Config{}
}

// Ready reports whether the node has received a configuration and a published membership.
func (f *Fleet) Ready() bool {
	return f.config.Load() != nil && f.known.Load()
}

// Pin returns the snapshot that a new query of a service uses, or nil if there is none.
func (f *Fleet) Pin(s tier.Service) *vers.Layout {
	if f.Unsafe.PinNewest {
		return f.Catalog().Newest(s)
	}
	return f.Catalog().Pin(s)
}

// Catalog returns the services and snapshots of the current membership.
func (f *Fleet) Catalog() *vers.Catalog { return f.catalog.Load() }

// Table returns the current membership; the caller must not change it.
func (f *Fleet) Table() *roster.Table { return f.membership.Load().table }

// Owned returns the servers that this node owns.
func (f *Fleet) Owned() map[tier.ServerID]tier.Announcement {
	m := f.membership.Load()
	owned := make(map[tier.ServerID]tier.Announcement, len(m.since))
	for id := range m.since {
		owned[id] = m.table.Servers[id]
	}
	return owned
}

// OwnerOf returns the owner of a server; ok is false if it has none.
func (f *Fleet) OwnerOf(id tier.ServerID) (p conn.Peer, ok bool) {
	m := f.membership.Load()
	n, ok := m.table.Nodes[m.owners[id]]
	return conn.Peer{Node: n.ID, Address: n.Peer}, ok
}

// Alive reports whether instance i of a node is a live member.
func (f *Fleet) Alive(id tier.NodeID, i tier.Instance) bool {
	n, ok := f.Table().Nodes[id]
	return ok && n.Instance == i
}

// Entries returns the number of live entries that are not draining.
func (f *Fleet) Entries() int { return f.membership.Load().entries }

// NextBeat returns the number of a heartbeat that is about to be sent and records the time.
func (f *Fleet) NextBeat() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.NextBeat(f.Clock.Now())
}

// Leased reports whether the node's own lease is valid.
func (f *Fleet) Leased() bool { return f.LeaseLeft() > 0 }

// LeaseLeft returns the remaining time of the node's own lease; it is not positive after expiry.
func (f *Fleet) LeaseLeft() time.Duration {
	return roster.LeaseLeft(f.Clock.Now(), time.Duration(f.renewed.Load()))
}

// SetPeerStatus records the result of polling the peers when the node's own lease is about to expire or has expired:
// whether most of them answered, and whether any of them has had recent contact with the control leader.
func (f *Fleet) SetPeerStatus(reached, controlled bool) {
	f.peersReached.Store(reached)
	f.noControl.Store(reached && !controlled)
}

// MaySend reports whether this node may send to a server now: it owns the server in a settled state and has a valid
// lease, or no reachable peer has contact with the control leader, so that ownership cannot have moved.
func (f *Fleet) MaySend(id tier.ServerID) bool {
	return roster.MaySend(f.membership.Load().since, *f.settled.Load(), id) && (f.Leased() || f.noControl.Load())
}

// Settled reports whether every live node has applied the state s or a later one.
func (f *Fleet) Settled(s roster.Stamp) bool { return !f.settled.Load().Less(s) }

// Sendable returns the number of servers that this node may send to now.
func (f *Fleet) Sendable() int {
	n := 0
	for id := range f.membership.Load().since {
		if f.MaySend(id) {
			n++
		}
	}
	return n
}

// RefusalReason returns the reason for which this node must refuse new requests now, or ReasonNone.
func (f *Fleet) RefusalReason() tier.Reason {
	switch {
	case !f.Ready():
		return tier.ReasonNoControl
	case !f.Leased() && !f.peersReached.Load() && !f.Unsafe.IgnoreLease:
		return tier.ReasonIsolated
	}
	return tier.ReasonNone
}

// Sample returns up to n other entries, chosen at random.
func (f *Fleet) Sample(n int) []conn.Peer {
	var all []conn.Peer
	for id, m := range f.Table().Nodes {
		if id != f.Self && m.Entry {
			all = append(all, conn.Peer{Node: id, Address: m.Peer})
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// Addresses returns up to n addresses of entries for callers: those of this node's zone first, in random order within
// the zone and outside of it, without draining nodes.
func (f *Fleet) Addresses(n int) []string {
	var addresses, otherZones []string
	for _, m := range f.Table().Nodes {
		switch {
		case !m.Entry || (m.Draining && !f.Unsafe.KeepDraining):
		case m.Zone == f.Zone:
			addresses = append(addresses, m.Address)
		default:
			otherZones = append(otherZones, m.Address)
		}
	}
	shuffle := func(l []string) { rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] }) }
	shuffle(addresses)
	shuffle(otherZones)
	// One address of another zone stays in the list, so that callers have an entry left if this zone fails.
	if len(addresses) >= n && len(otherZones) > 0 && n > 1 {
		addresses = addresses[:n-1]
	}
	addresses = append(addresses, otherZones...)
	return addresses[:min(n, len(addresses))]
}
