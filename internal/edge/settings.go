// Package edge implements a node that forwards callers' requests according to a routing table. It
// finds its peers through seeds, shares the membership by gossip without a leader, keeps the
// routing table in a replicated log whose group manages its own membership, and sends requests to
// servers over its own connections.
package edge

import (
	"net"
	"strconv"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Settings configures a node. A node's id is its IP address, so that any node can reach any other
// whose id it knows; ports are the same on all nodes.
type Settings struct {
	// ID is the node's IP address, Name a human-readable name.
	ID   tier.NodeID
	Name string
	Zone tier.Zone
	// Region is the region that contains the zone.
	Region tier.Region
	// Callers and Control are the addresses of this node's interfaces as others reach them.
	Callers string
	Control string
	// ReadyAddress and Directory are additional listeners, used only by platforms that require
	// them.
	ReadyAddress string
	Directory    string
	// LinkPort is for streams between nodes (QUIC over UDP), GossipPort for gossip datagrams.
	LinkPort   int
	GossipPort int
	// Bind is the local IP address for connections from other nodes, if it differs from the id: the
	// id may be the address of a relay in front of the node.
	Bind tier.NodeID
	// Source is the local IP address of connections to servers; empty lets the system choose it.
	Source tier.NodeID
	// Seeds are the nodes to contact first.
	Seeds []tier.NodeID
	// IgnoredSeeds are entries of the list of seeds that name no node. They are only logged.
	IgnoredSeeds []string
	// Bootstrap is set at the first start of the whole fleet and lets the seeds bootstrap the control
	// group.
	Bootstrap bool
	// Data is the data folder. Without one only a founder holds a replica, in a temporary folder
	// below Scratch.
	Data    string
	Scratch string
	// Tolerance is the number of control hosts whose failure the control group must survive.
	Tolerance int
	// AnnounceInterval is the interval between a server's announcements.
	AnnounceInterval time.Duration
	// GracePeriod is the time from SIGTERM to the end of the process.
	GracePeriod time.Duration
	// AnswerTTL is how long callers may cache an answer of Entries.
	AnswerTTL time.Duration
	// Budget limits extra sub-requests: hedges and retries.
	Budget reqst.Allowance
	// Cold bounds the requests to a cold server in any second; zero values mean the defaults.
	Cold terms.ColdBound
	// Cores is the CPU capacity in cores, which may be a fraction; Mbits is the link's bandwidth in
	// Mbit/s. 0 means unknown.
	Cores float64
	Mbits float64
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// CallerBytes bounds what callers hold over all listeners; 0 means a quarter of MemoryBytes.
	CallerBytes int64
	// Limits bounds callers' requests; BodyBytes applies until a routing table sets it.
	Limits CallerLimits
	// Answers bounds servers' answers. HeldBytes bounds the bodies of callers and servers that the
	// process holds at a time; 0 means no bound.
	Answers   conn.AnswerLimits
	HeldBytes int64
	// Revocation configures how soon the removal of a tenant's key holds on all nodes.
	Revocation Revocation
	// Quota says how exactly tenants' limits are kept; without a window the defaults apply.
	Quota quota.Limits
}

// CallerLimits are the limits of the callers' listener. Only BodyBytes can be replaced by a routing
// table.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// BodyTimeout bounds the reception of a body after its header; 0 means no bound.
	BodyTimeout time.Duration
	IdleTimeout time.Duration
}

// DefaultLimits returns limits well above those that a routing table usually sets.
func DefaultLimits() CallerLimits {
	return CallerLimits{HeaderBytes: 64 << 10, BodyBytes: 8 << 20, HeaderTimeout: 10 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: 75 * time.Second}
}

// linkAddress returns a node's address for streams.
func (s *Settings) linkAddress(id tier.NodeID) string { return hostPort(id, s.LinkPort) }

// gossipAddress returns a node's address for gossip datagrams.
func (s *Settings) gossipAddress(id tier.NodeID) string { return hostPort(id, s.GossipPort) }

// bind returns the local IP address for connections from other nodes.
func (s *Settings) bind() tier.NodeID {
	if s.Bind != "" {
		return s.Bind
	}
	return s.ID
}

func hostPort(id tier.NodeID, port int) string {
	return net.JoinHostPort(string(id), strconv.Itoa(port))
}
