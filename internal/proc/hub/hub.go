package hub

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
	members map[tier.NodeID]*member
	servers map[tier.ServerID]*homed
	changes []change
}

// Start begins the grace period.
func (h *Hub) Start(now time.Duration) {
	h.start = now
	h.table = NewTable()
	h.table.Stamp = Stamp{Epoch: h.Epoch}
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
	for _, s := range up.Servers {
		h.report(now, from, s)
	}
	for _, g := range up.Gone {
		h.gone(now, from, g)
	}
}

func (h *Hub) join(m *member, n Node) *member {
	if m == nil {
		m = &member{}
		h.members[n.ID] = m
	}
	m.node = n
	h.table.Nodes[n.ID] = n
	h.bump(change{node: n.ID})
	return m
}

func (h *Hub) report(now time.Duration, from tier.NodeID, s Server) {
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
	h.table.Servers[s.Server] = s
	h.bump(change{server: s.Server})
}

func (h *Hub) gone(now time.Duration, from tier.NodeID, g Gone) {
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
	delete(h.table.Servers, id)
	h.bump(change{server: id})
}

// removeNode ends a node's lease. Servers that announced themselves there
// have one lease of theirs to turn up elsewhere.
func (h *Hub) removeNode(now time.Duration, id tier.NodeID) {
	if h.members[id] == nil {
		return
	}
	delete(h.members, id)
	delete(h.table.Nodes, id)
	h.bump(change{node: id})
	for _, e := range h.servers {
		if !e.homes[id] {
			continue
		}
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

// Settled returns the newest state that every live node has taken over. What
// a node no longer owned in that state, it no longer sends to.
func (h *Hub) Settled() Stamp {
	if h.Unsafe {
		return h.table.Stamp
	}
	s := h.table.Stamp
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
	d := h.head()
	mine := h.table.Digests()
	want := map[int]bool{}
	for i, v := range mine {
		if i >= len(digests) || digests[i] != v {
			want[i] = true
			d.Whole = append(d.Whole, i)
		}
	}
	for id, n := range h.table.Nodes {
		if want[bucketOf(string(id))] {
			d.Nodes = append(d.Nodes, n)
		}
	}
	for id, s := range h.table.Servers {
		if want[bucketOf(string(id))] {
			d.Servers = append(d.Servers, s)
		}
	}
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
