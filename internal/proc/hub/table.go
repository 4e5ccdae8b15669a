// Package hub keeps the fleet's membership: nodes and servers with their
// leases. The control leader runs a Hub; every node follows it with a View.
// Both are pure: events and the monotonic time go in, messages come out.
package hub

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Buckets is the number of parts in which two copies of the table are compared.
const Buckets = 64

// Seq numbers the states of the table within one epoch.
type Seq uint64

// Stamp orders states of the table over leader changes.
type Stamp struct {
	Epoch tier.Term `cbor:"1,keyasint" json:"epoch"`
	Seq   Seq       `cbor:"2,keyasint" json:"seq"`
}

// Less reports whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch < o.Epoch
	}
	return s.Seq < o.Seq
}

// Node is the record of one live node.
type Node struct {
	ID       tier.NodeID   `cbor:"1,keyasint" json:"id"`
	Instance tier.Instance `cbor:"2,keyasint" json:"instance"`
	Zone     tier.Zone     `cbor:"3,keyasint" json:"zone"`
	Peer     string        `cbor:"4,keyasint" json:"peer"`
	Address  string        `cbor:"5,keyasint" json:"address"`
	Control  bool          `cbor:"6,keyasint,omitempty" json:"control,omitempty"`
	Entry    bool          `cbor:"7,keyasint,omitempty" json:"entry,omitempty"`
	Draining bool          `cbor:"8,keyasint,omitempty" json:"draining,omitempty"`
}

// Server is the record of one live server.
type Server = tier.Announcement

// Table is one state of the membership.
type Table struct {
	Stamp   Stamp
	Nodes   map[tier.NodeID]Node
	Servers map[tier.ServerID]Server
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Nodes: map[tier.NodeID]Node{}, Servers: map[tier.ServerID]Server{}}
}

func (t *Table) clone() *Table {
	c := &Table{
		Stamp:   t.Stamp,
		Nodes:   make(map[tier.NodeID]Node, len(t.Nodes)),
		Servers: make(map[tier.ServerID]Server, len(t.Servers)),
	}
	for id, n := range t.Nodes {
		c.Nodes[id] = n
	}
	for id, s := range t.Servers {
		c.Servers[id] = s
	}
	return c
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Digests returns one digest per bucket; equal tables have equal digests.
func (t *Table) Digests() []uint64 {
	d := make([]uint64, Buckets)
	for id, n := range t.Nodes {
		d[bucketOf(string(id))] ^= digest(n)
	}
	for id, s := range t.Servers {
		d[bucketOf(string(id))] ^= digest(s)
	}
	return d
}

func digest(v any) uint64 {
	b, err := frame.Marshal(v)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// sameServer reports whether two announcements make the same record.
func sameServer(a, b Server) bool { return digest(a) == digest(b) }

// load is the greatest share of the mean number of servers that one node may own, in per cent.
const loadPercent = 125

// Owners assigns every server to the one node that may connect to it: by
// rendezvous hashing over the live, not draining entries of the server's zone
// (of all zones where it has none), none above 125% of the mean.
func (t *Table) Owners() map[tier.ServerID]tier.NodeID {
	byZone, all := t.eligible()
	servers := map[tier.Zone][]tier.ServerID{}
	for id, s := range t.Servers {
		z := s.Zone
		if len(byZone[z]) == 0 {
			z = ""
		}
		servers[z] = append(servers[z], id)
	}
	owners := make(map[tier.ServerID]tier.NodeID, len(t.Servers))
	for z, ids := range servers {
		nodes := byZone[z]
		if z == "" {
			nodes = all
		}
		assign(owners, ids, nodes)
	}
	return owners
}

// eligible returns the entries that may own servers; draining ones only where there is no other.
func (t *Table) eligible() (byZone map[tier.Zone][]tier.NodeID, all []tier.NodeID) {
	byZone, all = t.entries(false)
	if len(all) == 0 {
		return t.entries(true)
	}
	return byZone, all
}

func (t *Table) entries(draining bool) (byZone map[tier.Zone][]tier.NodeID, all []tier.NodeID) {
	byZone = map[tier.Zone][]tier.NodeID{}
	for id, n := range t.Nodes {
		if n.Draining != draining || !n.Entry {
			continue
		}
		byZone[n.Zone] = append(byZone[n.Zone], id)
		all = append(all, id)
	}
	return byZone, all
}

func assign(owners map[tier.ServerID]tier.NodeID, ids []tier.ServerID, nodes []tier.NodeID) {
	if len(nodes) == 0 {
		return
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	limit := (len(ids)*loadPercent + 100*len(nodes) - 1) / (100 * len(nodes))
	count := make(map[tier.NodeID]int, len(nodes))
	for _, id := range ids {
		best := highest(id, nodes, count, limit)
		owners[id] = best
		count[best]++
	}
}

// highest returns the node with the highest rendezvous weight for id that has room.
func highest(id tier.ServerID, nodes []tier.NodeID, count map[tier.NodeID]int, limit int) tier.NodeID {
	var best tier.NodeID
	var bestWeight uint64
	for _, n := range nodes {
		if count[n] >= limit {
			continue
		}
		w := weight(id, n)
		if best == "" || w > bestWeight || (w == bestWeight && n < best) {
			best, bestWeight = n, w
		}
	}
	return best
}

func weight(s tier.ServerID, n tier.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(s))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(n))
	return d.Sum64()
}
