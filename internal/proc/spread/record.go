// Package spread is the membership of a fleet without a leader: every node
// holds a record of each host and server, of two versions of a record the
// greater one holds on every node whatever way it came, and nodes push what
// changed to each other and compare digests. It is pure: events and the time
// go in, packets and changes come out; it is not safe for concurrent use.
package spread

import (
	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// HostState is what is known of a host; of equal versions the higher one holds.
type HostState uint8

// Host states.
const (
	HostUp HostState = iota
	HostLeaving
	HostDown
)

// Host is one node of the fleet. Only the host itself raises Boot and Seq;
// others may call it down, which it answers with a higher Seq.
type Host struct {
	ID    tier.NodeID `cbor:"1,keyasint" json:"id"`
	Boot  uint64      `cbor:"2,keyasint" json:"boot"`
	Seq   uint64      `cbor:"3,keyasint" json:"seq"`
	State HostState   `cbor:"4,keyasint,omitempty" json:"state"`
	Zone  tier.Zone   `cbor:"5,keyasint,omitempty" json:"zone"`
	// Region holds the zone.
	Region tier.Region `cbor:"6,keyasint,omitempty" json:"region"`
	// Callers and Control are addresses; empty where the host does not serve them.
	Callers string `cbor:"7,keyasint,omitempty" json:"callers,omitempty"`
	Control string `cbor:"8,keyasint,omitempty" json:"control,omitempty"`
	// Replica is the host's control replica, if it has one.
	Replica tier.ReplicaID `cbor:"9,keyasint,omitempty" json:"replica,omitempty"`
	Disk    bool           `cbor:"10,keyasint,omitempty" json:"disk,omitempty"`
	// Ready says that the host serves callers.
	Ready bool `cbor:"11,keyasint,omitempty" json:"ready,omitempty"`
	// Active says that callers use the host in earnest: such hosts share the
	// larger part of the fleet's allowances.
	Active bool `cbor:"12,keyasint,omitempty" json:"active,omitempty"`
	// Cores is the host's share of processors, Mbits its link's bandwidth in Mbit/s; 0 is not known.
	Cores float64 `cbor:"13,keyasint,omitempty" json:"cores,omitempty"`
	Mbits float64 `cbor:"14,keyasint,omitempty" json:"mbits,omitempty"`
}

// Less reports whether o is the newer version of the same host.
func (h *Host) Less(o *Host) bool {
	if h.Boot != o.Boot {
		return h.Boot < o.Boot
	}
	if h.Seq != o.Seq {
		return h.Seq < o.Seq
	}
	return h.State < o.State
}

// ServerState is what is known of a server; of equal versions the higher one holds.
type ServerState uint8

// Server states. A lost server's lease ended, and a later beat brings it back;
// a gone one said farewell, and only another start of it counts.
const (
	ServerReady ServerState = iota
	ServerDraining
	ServerLost
	ServerGone
)

// Server is one server with its latest state that others must know.
type Server struct {
	ID      tier.ServerID `cbor:"1,keyasint" json:"id"`
	Born    int64         `cbor:"2,keyasint" json:"born"`
	Seq     uint64        `cbor:"3,keyasint" json:"seq"`
	State   ServerState   `cbor:"4,keyasint,omitempty" json:"state"`
	Service tier.Service  `cbor:"5,keyasint" json:"service"`
	Address string        `cbor:"6,keyasint" json:"address"`
	Zone    tier.Zone     `cbor:"7,keyasint,omitempty" json:"zone"`
	Slots   int           `cbor:"8,keyasint,omitempty" json:"slots"`
	// ColdMs is how much longer the server was to be slow when it was first heard.
	ColdMs tier.Millis `cbor:"9,keyasint,omitempty" json:"cold_ms,omitempty"`
	// Home is the host at which the server announces itself, which ends its lease.
	Home tier.NodeID `cbor:"10,keyasint" json:"home"`
}

// Live reports whether the server is there, draining or not.
func (s *Server) Live() bool { return s.State <= ServerDraining }

// Less reports whether o is the newer version of the same server.
func (s *Server) Less(o *Server) bool {
	if s.Born != o.Born {
		return s.Born < o.Born
	}
	if (s.State == ServerGone) != (o.State == ServerGone) {
		return o.State == ServerGone
	}
	if s.Seq != o.Seq {
		return s.Seq < o.Seq
	}
	if s.State != o.State {
		return s.State < o.State
	}
	return s.Home < o.Home
}

// sameFor reports whether a newer version tells others nothing new.
func (s *Server) sameFor(o *Server) bool {
	return s.Born == o.Born && s.State == o.State && s.Service == o.Service && s.Address == o.Address &&
		s.Zone == o.Zone && s.Slots == o.Slots && s.Home == o.Home
}

// digest returns the hash of a record's version and content.
func digest(record any) uint32 {
	b, err := frame.Marshal(record)
	if err != nil {
		// Records are plain structs, which always encode.
		panic(err)
	}
	return uint32(xxhash.Sum64(b))
}

// Numbers of groups into which records fall for comparison: a record that
// differs costs its whole group, some five records in a fleet of hundreds.
const (
	hostBuckets   = 32
	serverBuckets = 64
)

// Digest sums up all records, one hash for each group. Keys 1 and 2 were
// taken by coarser groups.
type Digest struct {
	Hosts   [hostBuckets]uint32   `cbor:"3,keyasint"`
	Servers [serverBuckets]uint32 `cbor:"4,keyasint"`
}

func (d *Digest) sum() uint64 {
	h := uint64(0)
	for _, s := range d.Hosts {
		h = h*31 + uint64(s) + 1
	}
	for _, s := range d.Servers {
		h = h*31 + uint64(s) + 1
	}
	return h
}

func (d *Digest) host(id tier.NodeID) *uint32 {
	return &d.Hosts[xxhash.Sum64String(string(id))%hostBuckets]
}

func (d *Digest) server(id tier.ServerID) *uint32 {
	return &d.Servers[xxhash.Sum64String(string(id))%serverBuckets]
}
