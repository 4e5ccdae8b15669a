// Package spread implements leaderless gossip membership. Every node holds a record of each host and server. Of two
// versions of a record the greater one wins on every node, in whatever order and by whatever path they arrive. Nodes
// push changes to each other and run anti-entropy by comparing digests. The package does no I/O: its inputs are events
// and the time, its outputs packets and changes. It is not safe for concurrent use.
package spread

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// HostState is the state of a host in the membership. Between records of equal version the higher state wins.
type HostState uint8

// Host states.
const (
	HostUp HostState = iota
	HostLeaving
	HostDown
)

// Host is the record of one node of the fleet. Only the host itself raises Boot and Seq. Other hosts may mark it down,
// which it refutes with a higher Seq.
type Host struct {
	ID    tier.NodeID `cbor:"1,keyasint" json:"id"`
	Boot  uint64      `cbor:"2,keyasint" json:"boot"`
	Seq   uint64      `cbor:"3,keyasint" json:"seq"`
	State HostState   `cbor:"4,keyasint,omitempty" json:"state"`
	Zone  tier.Zone   `cbor:"5,keyasint,omitempty" json:"zone"`
	// Region is the region that contains Zone.
	Region tier.Region `cbor:"6,keyasint,omitempty" json:"region"`
	// Callers and Control are the addresses for callers and control traffic; empty if the host does not serve them.
	Callers string `cbor:"7,keyasint,omitempty" json:"callers,omitempty"`
	Control string `cbor:"8,keyasint,omitempty" json:"control,omitempty"`
	// Replica is the id of the host's control replica, or empty.
	Replica tier.ReplicaID `cbor:"9,keyasint,omitempty" json:"replica,omitempty"`
	Disk    bool           `cbor:"10,keyasint,omitempty" json:"disk,omitempty"`
	// Ready is set when the host serves callers.
	Ready bool `cbor:"11,keyasint,omitempty" json:"ready,omitempty"`
	// Active is set when the host receives a significant part of the callers' traffic: active hosts share the larger
	// part of the fleet's limits.
	Active bool `cbor:"12,keyasint,omitempty" json:"active,omitempty"`
	// Cores is the number of CPU cores available to the host, Mbits its link's bandwidth in Mbit/s; 0 means unknown.
	Cores float64 `cbor:"13,keyasint,omitempty" json:"cores,omitempty"`
	Mbits float64 `cbor:"14,keyasint,omitempty" json:"mbits,omitempty"`
	// Cut is set while the host does not reach the servers, though it reaches other hosts.
	Cut bool `cbor:"15,keyasint,omitempty" json:"cut,omitempty"`
	// Unproven is set while the host refuses requests with keys, because it does not know whether its table is the newest.
	Unproven bool `cbor:"16,keyasint,omitempty" json:"unproven,omitempty"`
	// Share is the log index of the group's membership by which this control host counts the shares of tenants' limits.
	Share tier.Index `cbor:"18,keyasint,omitempty" json:"share,omitempty"`
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

// before returns the record with the version before its own.
func (h Host) before() Host {
	if h.Seq > 0 {
		h.Seq--
		return h
	}
	h.Boot, h.Seq = max(h.Boot, 1)-1, math.MaxUint64/2
	return h
}

// ServerState is the state of a server in the membership. Between records of equal version the higher state wins.
type ServerState uint8

// Server states. ServerLost means that the lease expired; a later announcement makes the server ready again.
// ServerGone means that the server deregistered; only an announcement of a later start is accepted then.
const (
	ServerReady ServerState = iota
	ServerDraining
	ServerLost
	ServerGone
)

// Server is the replicated record of one server.
type Server struct {
	ID      tier.ServerID `cbor:"1,keyasint" json:"id"`
	Born    int64         `cbor:"2,keyasint" json:"born"`
	Seq     uint64        `cbor:"3,keyasint" json:"seq"`
	State   ServerState   `cbor:"4,keyasint,omitempty" json:"state"`
	Service tier.Service  `cbor:"5,keyasint" json:"service"`
	Address string        `cbor:"6,keyasint" json:"address"`
	Zone    tier.Zone     `cbor:"7,keyasint,omitempty" json:"zone"`
	Slots   int           `cbor:"8,keyasint,omitempty" json:"slots"`
	// ColdMs is the remaining warm-up time that the server stated in its first announcement.
	ColdMs tier.Millis `cbor:"9,keyasint,omitempty" json:"cold_ms,omitempty"`
	// Home is the host at which the server announces itself; that host expires the server's lease.
	Home tier.NodeID `cbor:"10,keyasint" json:"home"`
	// RestMs is the remaining warm-up time as of this version of the record; 0 once the server is warm. Unlike ColdMs, whose
	// meaning earlier builds know, it changes whenever the server becomes cold or warm.
	RestMs tier.Millis `cbor:"11,keyasint,omitempty" json:"rest_ms,omitempty"`
}

// Limits of a server's record.
const (
	maxSlots = 1 << 20
	// maxBorn is in the year 2109, in Unix milliseconds.
	maxBorn = 1 << 42
	// maxSeq is the greatest integer that all JSON libraries keep exactly.
	maxSeq  = 1 << 53
	maxCold = tier.Millis(24 * time.Hour / time.Millisecond)
)

// Check reports why a record does not name a server to which requests can be sent.
func (s *Server) Check() error {
	switch {
	case s.Born < 0 || s.Born > maxBorn:
		return errors.New("born: not a time")
	case s.Seq > maxSeq:
		return errors.Errorf("sequence: at most %d is allowed", maxSeq)
	case s.State > ServerGone:
		return errors.Errorf("state: unknown number %d", s.State)
	case s.Slots < 0 || s.Slots > maxSlots:
		return errors.Errorf("slots: 0 to %d are allowed", maxSlots)
	case s.ColdMs < 0 || s.ColdMs > maxCold || s.RestMs < 0 || s.RestMs > maxCold:
		return errors.Errorf("warm-up time: 0 to %d ms are allowed", maxCold)
	}
	for _, err := range []error{s.ID.Check(), s.Service.Check(), s.Zone.Check(), tier.CheckAddress(s.Address)} {
		if err != nil {
			return err
		}
	}
	return nil
}

// Live reports whether the server is ready or draining.
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

// sameContent reports whether o differs from s in nothing that other hosts need: Seq, ColdMs and RestMs are not compared.
func (s *Server) sameContent(o *Server) bool {
	return s.Born == o.Born && s.State == o.State && s.Service == o.Service && s.Address == o.Address &&
		s.Zone == o.Zone && s.Slots == o.Slots && s.Home == o.Home
}

// digest returns the hash and the size of an encoded record.
func digest(record any) (sum uint32, bytes int) {
	b, err := frame.Marshal(record)
	if err != nil {
		// Unreachable: records are plain structs, which always encode.
		panic(err)
	}
	return uint32(xxhash.Sum64(b)), len(b)
}

// Numbers of hash buckets for digest comparison. One differing record causes its whole bucket to be sent, which is
// about five records in a fleet of hundreds.
const (
	hostBuckets   = 32
	serverBuckets = 64
)

// Digest holds one hash for each bucket of records. CBOR keys 1 and 2 belonged to an earlier version with fewer buckets
// and must not be reused.
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
