// Package roster keeps the fleet's membership: nodes and servers with their leases. The control leader runs a Hub;
// every node keeps a copy of the Hub's table in a View. Neither does any I/O: their inputs are events and the
// monotonic time, their outputs messages.
package roster

import (
	"maps"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Buckets is the number of hash buckets by which two copies of the table are compared.
const Buckets = 64

// Seq numbers the changes of the table within one epoch.
type Seq uint64

// Stamp is the version of a state of the table. Stamps are ordered across leader changes.
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
	return &Table{Stamp: t.Stamp, Nodes: maps.Clone(t.Nodes), Servers: maps.Clone(t.Servers)}
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

// Diff returns the records of the buckets in which a copy with the given digests differs.
func (t *Table) Diff(digests []uint64) HubMessage { return t.diffDigests(t.Digests(), digests) }

func (t *Table) diffDigests(local, remote []uint64) HubMessage {
	d := HubMessage{Stamp: t.Stamp}
	differing := map[int]bool{}
	for i, v := range local {
		if i >= len(remote) || remote[i] != v {
			differing[i] = true
			d.Whole = append(d.Whole, i)
		}
	}
	for id, n := range t.Nodes {
		if differing[bucketOf(string(id))] {
			d.Nodes = append(d.Nodes, n)
		}
	}
	for id, s := range t.Servers {
		if differing[bucketOf(string(id))] {
			d.Servers = append(d.Servers, s)
		}
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

// sameServer reports whether two announcements encode to the same record.
func sameServer(a, b Server) bool { return digest(a) == digest(b) }

// maxLoadPercent is the most servers that one node may own, in percent of the mean per node.
const maxLoadPercent = 125

// Owners assigns every server to the one node that may connect to it, by rendezvous hashing with bounded load over the
// live entries of the server's zone that are not draining, or of all zones if its zone has none. No node owns more than
// 125% of the mean.
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

// eligible returns the entries that may own servers: draining ones only if all entries are draining.
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

// candidate is a node with the hash of its id and the number of servers assigned to it so far.
type candidate struct {
	id    tier.NodeID
	hash  uint64
	count int
}

func assign(owners map[tier.ServerID]tier.NodeID, ids []tier.ServerID, nodes []tier.NodeID) {
	if len(nodes) == 0 {
		return
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	limit := (len(ids)*maxLoadPercent + 100*len(nodes) - 1) / (100 * len(nodes))
	list := make([]candidate, len(nodes))
	for i, n := range nodes {
		list[i] = candidate{id: n, hash: xxhash.Sum64String(string(n))}
	}
	for _, id := range ids {
		best := bestCandidate(xxhash.Sum64String(string(id)), list, limit)
		owners[id] = list[best].id
		list[best].count++
	}
}

// bestCandidate returns the index of the node with the highest rendezvous weight for a server's hash among those that
// own fewer servers than limit. Of equal weights the node with the lower id wins.
func bestCandidate(server uint64, list []candidate, limit int) int {
	best, bestWeight := -1, uint64(0)
	for i := range list {
		if list[i].count >= limit {
			continue
		}
		if w := mix(server ^ list[i].hash); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// mix is the finalizer of splitmix64; it spreads every input bit over the whole result.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
