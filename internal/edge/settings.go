// Package edge wires a node that forwards callers' requests by a routing
// table: it finds its peers through seeds, spreads the membership without a
// leader, keeps the routing table in a replicated log that steers its own
// membership, and sends to servers over its own connections.
package edge

import (
	"net"
	"strconv"
	"time"

	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Settings is what a node is told. Its id is its IP address, so that any node
// can reach any other whose id it knows; ports are the same on all nodes.
type Settings struct {
	// ID is the node's IP address, Name its name for people.
	ID   tier.NodeID
	Name string
	Zone tier.Zone
	// Region holds the zone.
	Region tier.Region
	// Callers and Control are the addresses under which others know this node's interfaces.
	Callers string
	Control string
	// ReadyAddress and Directory are listeners of platforms that have such ones.
	ReadyAddress string
	Directory    string
	// LinkPort is for streams between nodes (UDP, QUIC), GossipPort for their datagrams.
	LinkPort   int
	GossipPort int
	// Bind is the IP address on which other nodes are served, if not the id: the
	// id may be that of a relay in front of the node.
	Bind tier.NodeID
	// Seeds are nodes to ask first.
	Seeds []tier.NodeID
	// Found is set at the first start of the whole fleet.
	Found bool
	// Data is the data folder; without one the node holds a replica only as a founder, in Scratch.
	Data    string
	Scratch string
	// Tolerance is the number of control hosts whose loss must be borne.
	Tolerance int
	// BeatEvery is the interval between a server's announcements.
	BeatEvery time.Duration
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration
	// AnswerTTL is how long callers may keep an answer on which nodes to use.
	AnswerTTL time.Duration
	// Budget limits extra sub-requests.
	Budget reqst.Allowance
	// Cores is the share of processors, Mbits the link's bandwidth in Mbit/s; 0 is not known.
	Cores float64
	Mbits float64
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Limits bounds callers until a routing table says otherwise.
	Limits CallerLimits
}

// CallerLimits are the bounds of the callers' listener, which outlast any routing table.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// DefaultLimits are well above what a routing table usually asks for.
func DefaultLimits() CallerLimits {
	return CallerLimits{HeaderBytes: 64 << 10, BodyBytes: 8 << 20, HeaderTime: 10 * time.Second, IdleTime: 75 * time.Second}
}

// linkAddress returns a node's address for streams.
func (s *Settings) linkAddress(id tier.NodeID) string { return at(id, s.LinkPort) }

// gossipAddress returns a node's address for datagrams.
func (s *Settings) gossipAddress(id tier.NodeID) string { return at(id, s.GossipPort) }

// bind returns the IP address on which other nodes are served.
func (s *Settings) bind() tier.NodeID {
	if s.Bind != "" {
		return s.Bind
	}
	return s.ID
}

func at(id tier.NodeID, port int) string { return net.JoinHostPort(string(id), strconv.Itoa(port)) }
