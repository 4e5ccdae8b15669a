package roster

import (
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// NodeLease is how long a node counts as live after its last heartbeat was
	// received. The node itself counts from when it sent the heartbeat.
	NodeLease = 3 * time.Second
	// DriftMargin covers the difference between two clocks' speeds over NodeLease: 10%.
	DriftMargin = NodeLease / 10
	// changesKept bounds the changes that a reconnecting node can catch up with.
	changesKept = 8192
)

// member is a live node as the leader sees it.
type member struct {
	node   Node
	heard  time.Duration
	have   Stamp
	config tier.ConfigVersion
}

// homed is a server with the nodes at which it announces itself.
type homed struct {
	server Server
	homes  map[tier.NodeID]bool
	orphan time.Duration
}

type change struct {
	seq    Seq
	node   tier.NodeID
	server tier.ServerID
}

// Hub is the leader's membership. It begins with a table that it does not
// publish until Open, so that a new leader first hears of every live server.
type Hub struct {
	// Epoch is the term in which this hub's leader was elected.
	Epoch tier.Term
	// Grace is how long the hub gathers reports before it publishes.
	Grace time.Duration
	// Unsafe settles every state at once, for tests that show what settling prevents.
	Unsafe bool

	start   time.Duration
	open    bool
	table   *Table
	digests []uint64
	settled Stamp
	members map[tier.NodeID]*member
	servers map[tier.ServerID]*homed
	changes []change
}

// Start begins the grace period.
func (h *Hub) Start(now time.Duration) {
	h.start = now
	h.table = NewTable()
	h.table.Stamp = Stamp{Epoch: h.Epoch}
	h.digests = make([]uint64, Buckets)
	h.members = map[tier.NodeID]*member{}
	h.servers = map[tier.ServerID]*homed{}
}

// Open reports whether the hub publishes its table.
func (h *Hub) Open() bool { return h.open }

// Table returns the current table; the caller must not change it.
func (h *Hub) Table() *Table { return h.table }

// Stamp returns the stamp of the current table.
func (h *Hub) Stamp() Stamp { return h.table.Stamp }

func (h *Hub) bump(c change) {
	h.table.Stamp.Seq++
	c.seq = h.table.Stamp.Seq
	h.changes = append(h.changes, c)
	if len(h.changes) > 2*changesKept {
		h.changes = append([]change(nil), h.changes[changesKept:]...)
	}
}

// setNode replaces the record of a node, or removes it for nil.
func (h *Hub) setNode(id tier.NodeID, n *Node) {
	replace(h.digests, h.table.Nodes, id, n)
	h.bump(change{node: id})
}

// setServer replaces the record of a server, or removes it for nil.
func (h *Hub) setServer(id tier.ServerID, s *Server) {
	replace(h.digests, h.table.Servers, id, s)
	h.bump(change{server: id})
}

// replace puts a record into a table, or removes it for nil, and keeps the digest of its bucket.
func replace[K ~string, V any](digests []uint64, table map[K]V, id K, v *V) {
	b := bucketOf(string(id))
	if old, ok := table[id]; ok {
		digests[b] ^= digest(old)
		delete(table, id)
	}
	if v != nil {
		digests[b] ^= digest(*v)
		table[id] = *v
	}
}

// Receive handles a message from a node and renews its lease.
func (h *Hub) Receive(now time.Duration, from tier.NodeID, up Up) {
	if up.Leaving {
		h.removeNode(now, from)
		return
	}
	m := h.members[from]
	if up.Node != nil && (m == nil || m.node != *up.Node) {
		m = h.join(m, *up.Node)
	}
	if m == nil {
		return
	}
	m.heard, m.have, m.config = now, up.Have, up.Config
	if len(up.Digests) > 0 {
		h.reconcile(from, up.Servers)
	}
	for _, s := range up.Servers {
		h.report(from, s)
	}
	for _, g := range up.Gone {
		h.gone(from, g)
	}
}

// Member reports whether a node is a live member. One that is not must
// subscribe anew: its lease ran out here, whatever it thinks itself.
func (h *Hub) Member(id tier.NodeID) bool { return h.members[id] != nil }

// reconcile ends the announcements at a node that its complete list lacks;
// word of their end may have been lost with a former subscription.
func (h *Hub) reconcile(from tier.NodeID, list []Server) {
	has := make(map[tier.ServerID]bool, len(list))
	for _, s := range list {
		has[s.Server] = true
	}
	for _, id := range h.homedAt(from) {
		if !has[id] {
			h.gone(from, Gone{Server: id, Instance: h.servers[id].server.Instance})
		}
	}
}

func (h *Hub) homedAt(n tier.NodeID) []tier.ServerID {
	var ids []tier.ServerID
	for id, e := range h.servers {
		if e.homes[n] {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (h *Hub) join(m *member, n Node) *member {
	if m == nil {
		m = &member{}
		h.members[n.ID] = m
	}
	m.node = n
	h.setNode(n.ID, &n)
	return m
}

func (h *Hub) report(from tier.NodeID, s Server) {
	e := h.servers[s.Server]
	if e == nil {
		e = &homed{homes: map[tier.NodeID]bool{}}
		h.servers[s.Server] = e
	}
	if e.server.Instance != s.Instance {
		e.homes = map[tier.NodeID]bool{}
	}
	e.homes[from] = true
	if sameServer(e.server, s) {
		return
	}
	e.server = s
	h.setServer(s.Server, &s)
}

func (h *Hub) gone(from tier.NodeID, g Gone) {
	e := h.servers[g.Server]
	if e == nil || e.server.Instance != g.Instance || !e.homes[from] {
		return
	}
	delete(e.homes, from)
	if len(e.homes) == 0 {
		h.removeServer(g.Server)
	}
}

func (h *Hub) removeServer(id tier.ServerID) {
	delete(h.servers, id)
	h.setServer(id, nil)
}

// removeNode ends a node's lease. Servers that announced themselves there
// have one lease of theirs to turn up elsewhere.
func (h *Hub) removeNode(now time.Duration, id tier.NodeID) {
	if h.members[id] == nil {
		return
	}
	delete(h.members, id)
	h.setNode(id, nil)
	for _, sid := range h.homedAt(id) {
		e := h.servers[sid]
		delete(e.homes, id)
		if len(e.homes) == 0 {
			e.orphan = now + e.server.LeaseMs.Duration() + DriftMargin
		}
	}
}

// Tick expires leases and opens the hub after its grace period.
func (h *Hub) Tick(now time.Duration) {
	if now-h.start >= h.Grace {
		h.open = true
	}
	for _, id := range h.expired(now) {
		h.removeNode(now, id)
	}
	for _, id := range h.orphaned(now) {
		h.removeServer(id)
	}
	h.settled = h.settle()
}

func (h *Hub) expired(now time.Duration) []tier.NodeID {
	var ids []tier.NodeID
	for id, m := range h.members {
		if now-m.heard > NodeLease+DriftMargin {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (h *Hub) orphaned(now time.Duration) []tier.ServerID {
	var ids []tier.ServerID
	for id, e := range h.servers {
		if len(e.homes) == 0 && now > e.orphan {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Settled returns, as of the last Tick, the newest state that every live node
// has taken over. What a node no longer owned in it, it no longer sends to.
func (h *Hub) Settled() Stamp { return h.settled }

func (h *Hub) settle() Stamp {
	s := h.table.Stamp
	if h.Unsafe {
		return s
	}
	for _, m := range h.members {
		if m.have.Less(s) {
			s = m.have
		}
	}
	if s.Epoch != h.Epoch {
		return Stamp{}
	}
	return s
}

// Lagging returns the live nodes whose configuration is older than v.
func (h *Hub) Lagging(v tier.ConfigVersion) []tier.NodeID {
	var ids []tier.NodeID
	for id, m := range h.members {
		if m.config < v {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Resync answers a node's first message: the buckets in which its copy differs.
func (h *Hub) Resync(digests []uint64) Down {
	d := h.table.missing(h.digests, digests)
	d.Settled = h.settled
	return d
}

func (h *Hub) head() Down { return Down{Stamp: h.table.Stamp, Settled: h.Settled()} }

// Since returns the changes after seq; ok is false when they are no longer kept.
func (h *Hub) Since(seq Seq) (d Down, ok bool) {
	d = h.head()
	if seq > d.Stamp.Seq {
		return d, false
	}
	if d.Stamp.Seq == seq {
		return d, true
	}
	i := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].seq > seq })
	if i == len(h.changes) || h.changes[i].seq != seq+1 {
		return d, false
	}
	h.collect(&d, h.changes[i:])
	return d, true
}

func (h *Hub) collect(d *Down, cs []change) {
	seen := map[change]bool{}
	for _, c := range cs {
		c.seq = 0
		if seen[c] {
			continue
		}
		seen[c] = true
		if c.node != "" {
			h.collectNode(d, c.node)
		} else {
			h.collectServer(d, c.server)
		}
	}
}

func (h *Hub) collectNode(d *Down, id tier.NodeID) {
	if n, ok := h.table.Nodes[id]; ok {
		d.Nodes = append(d.Nodes, n)
		return
	}
	d.GoneNodes = append(d.GoneNodes, id)
}

func (h *Hub) collectServer(d *Down, id tier.ServerID) {
	if s, ok := h.table.Servers[id]; ok {
		d.Servers = append(d.Servers, s)
		return
	}
	d.GoneServers = append(d.GoneServers, id)
}
