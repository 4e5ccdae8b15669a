package roster

import (
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// NodeLease is the duration of a node's lease. The leader counts it from the receipt of the last heartbeat, the
	// node itself from the time at which it sent that heartbeat.
	NodeLease = 3 * time.Second
	// DriftMargin allows for two clocks whose rates differ by 10% over NodeLease.
	DriftMargin = NodeLease / 10
	// minChangesKept is the number of latest changes that are always kept for reconnecting nodes to catch up with.
	minChangesKept = 8192
)

// member is the leader's record of a live node: its last heartbeat and the table and configuration it has applied.
type member struct {
	node          Node
	lastHeartbeat time.Duration
	applied       Stamp
	config        tier.ConfigVersion
}

// serverEntry is a server with the nodes at which it announces itself (homes); once there are none, it is removed
// after orphanDeadline.
type serverEntry struct {
	server         Server
	homes          map[tier.NodeID]bool
	orphanDeadline time.Duration
}

type change struct {
	seq    Seq
	node   tier.NodeID
	server tier.ServerID
}

// Hub is the membership kept by the control leader. It does not publish its table until Open, so that a new leader
// first receives the reports of all live nodes about their servers.
type Hub struct {
	// Epoch is the term in which the leader that runs this hub was elected.
	Epoch tier.Term
	// Grace is how long the hub collects reports before it publishes its table.
	Grace time.Duration
	// DisableSettling makes every state count as settled at once, for tests that show the faults that settling prevents.
	DisableSettling bool

	start   time.Duration
	open    bool
	table   *Table
	digests []uint64
	settled Stamp
	members map[tier.NodeID]*member
	servers map[tier.ServerID]*serverEntry
	changes []change
}

// Start resets the hub and begins the grace period.
func (h *Hub) Start(now time.Duration) {
	h.start = now
	h.table = NewTable()
	h.table.Stamp = Stamp{Epoch: h.Epoch}
	h.digests = make([]uint64, Buckets)
	h.members = map[tier.NodeID]*member{}
	h.servers = map[tier.ServerID]*serverEntry{}
}

// Open reports whether the hub publishes its table.
func (h *Hub) Open() bool { return h.open }

// Table returns the current table; the caller must not change it.
func (h *Hub) Table() *Table { return h.table }

// Stamp returns the stamp of the current table.
func (h *Hub) Stamp() Stamp { return h.table.Stamp }

func (h *Hub) appendChange(c change) {
	h.table.Stamp.Seq++
	c.seq = h.table.Stamp.Seq
	h.changes = append(h.changes, c)
	if len(h.changes) > 2*minChangesKept {
		h.changes = append([]change(nil), h.changes[minChangesKept:]...)
	}
}

// setNode stores the record of a node, or removes it if n is nil.
func (h *Hub) setNode(id tier.NodeID, n *Node) {
	replaceRecord(h.digests, h.table.Nodes, id, n)
	h.appendChange(change{node: id})
}

// setServer stores the record of a server, or removes it if s is nil.
func (h *Hub) setServer(id tier.ServerID, s *Server) {
	replaceRecord(h.digests, h.table.Servers, id, s)
	h.appendChange(change{server: id})
}

// replaceRecord stores a record in a table, or removes it if v is nil, and updates the digest of its bucket.
func replaceRecord[K ~string, V any](digests []uint64, table map[K]V, id K, v *V) {
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
func (h *Hub) Receive(now time.Duration, from tier.NodeID, up NodeMessage) {
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
	m.lastHeartbeat, m.applied, m.config = now, up.Have, up.Config
	if len(up.Digests) > 0 {
		h.reconcile(from, up.Servers)
	}
	for _, s := range up.Servers {
		h.recordAnnouncement(from, s)
	}
	for _, g := range up.Gone {
		h.withdraw(from, g)
	}
}

// Member reports whether a node is a live member. A node that is not must subscribe again: its lease has expired here,
// even if the node still considers it valid.
func (h *Hub) Member(id tier.NodeID) bool { return h.members[id] != nil }

// reconcile withdraws the servers recorded at a node that its complete list lacks: their Gone messages may have been
// lost when an earlier subscription broke.
func (h *Hub) reconcile(from tier.NodeID, announced []Server) {
	present := make(map[tier.ServerID]bool, len(announced))
	for _, s := range announced {
		present[s.Server] = true
	}
	for _, id := range h.serversAt(from) {
		if !present[id] {
			h.withdraw(from, Gone{Server: id, Instance: h.servers[id].server.Instance})
		}
	}
}

func (h *Hub) serversAt(n tier.NodeID) []tier.ServerID {
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

func (h *Hub) recordAnnouncement(from tier.NodeID, s Server) {
	e := h.servers[s.Server]
	if e == nil {
		e = &serverEntry{homes: map[tier.NodeID]bool{}}
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

func (h *Hub) withdraw(from tier.NodeID, g Gone) {
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

// removeNode ends a node's lease. Servers that announced themselves only there have the time of their own lease, plus
// DriftMargin, to announce themselves at another node.
func (h *Hub) removeNode(now time.Duration, id tier.NodeID) {
	if h.members[id] == nil {
		return
	}
	delete(h.members, id)
	h.setNode(id, nil)
	for _, sid := range h.serversAt(id) {
		e := h.servers[sid]
		delete(e.homes, id)
		if len(e.homes) == 0 {
			e.orphanDeadline = now + e.server.LeaseMs.Duration() + DriftMargin
		}
	}
}

// Tick opens the hub after its grace period, expires leases and updates the settled state.
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
	h.settled = h.oldestApplied()
}

func (h *Hub) expired(now time.Duration) []tier.NodeID {
	var ids []tier.NodeID
	for id, m := range h.members {
		if now-m.lastHeartbeat > NodeLease+DriftMargin {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (h *Hub) orphaned(now time.Duration) []tier.ServerID {
	var ids []tier.ServerID
	for id, e := range h.servers {
		if len(e.homes) == 0 && now > e.orphanDeadline {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Settled returns, as of the last Tick, the newest state that every live node has applied. A node that no longer owns
// a server in that state no longer sends to it.
func (h *Hub) Settled() Stamp { return h.settled }

func (h *Hub) oldestApplied() Stamp {
	s := h.table.Stamp
	if h.DisableSettling {
		return s
	}
	for _, m := range h.members {
		if m.applied.Less(s) {
			s = m.applied
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

// Resync answers a node's first message with the buckets in which the node's copy of the table differs.
func (h *Hub) Resync(digests []uint64) HubMessage {
	d := h.table.diffDigests(h.digests, digests)
	d.Settled = h.settled
	return d
}

func (h *Hub) header() HubMessage { return HubMessage{Stamp: h.table.Stamp, Settled: h.Settled()} }

// Since returns the changes after seq; ok is false if they are no longer kept or seq is newer than the table.
func (h *Hub) Since(seq Seq) (d HubMessage, ok bool) {
	d = h.header()
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

func (h *Hub) collect(d *HubMessage, cs []change) {
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

func (h *Hub) collectNode(d *HubMessage, id tier.NodeID) {
	if n, ok := h.table.Nodes[id]; ok {
		d.Nodes = append(d.Nodes, n)
		return
	}
	d.GoneNodes = append(d.GoneNodes, id)
}

func (h *Hub) collectServer(d *HubMessage, id tier.ServerID) {
	if s, ok := h.table.Servers[id]; ok {
		d.Servers = append(d.Servers, s)
		return
	}
	d.GoneServers = append(d.GoneServers, id)
}
